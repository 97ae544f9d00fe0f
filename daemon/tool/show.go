package tool

import (
	"encoding/json"
	"fmt"
	"strconv"
	"text/tabwriter"

	"verbenaseam.example/verbenaseam/api/gen/operatorapi"
)

type statusShow struct {
	tool *tool
	JSON bool `long:"json" description:"Print JSON"`
}

// Execute implements flags.Commander.
func (c *statusShow) Execute([]string) error {
	client, ctx, cancel, err := c.tool.client()
	if err != nil {
		return err
	}
	defer cancel()
	response, err := client.GetStatus(ctx)
	if err != nil {
		return fromClientError(err)
	}
	if c.JSON {
		encoder := json.NewEncoder(c.tool.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(response)
	}
	c.print(response)
	return nil
}

func (c *statusShow) print(response *operatorapi.Status) {
	table := tabwriter.NewWriter(c.tool.out, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintf(table, "%s\t%s\tversion %d\tbuild %s\n\n", response.Name, response.FailureDomain, response.Version, response.Build.Or(unknown))
	_, _ = fmt.Fprintln(table, "TARGET\tFAILURE DOMAIN\tSTATE\tIN FLIGHT\tLIMIT")
	for _, target := range response.Targets {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\n", target.Name, target.FailureDomain, target.State, target.InFlight, target.Limit)
	}
	_, _ = fmt.Fprintln(table, "\nPEER\tSTATE\tVERSION\tBUILD\tPROTOCOL")
	for _, peer := range response.Peers {
		protocol := unknown
		if version, ok := peer.Protocol.Get(); ok {
			protocol = strconv.Itoa(version)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", peer.Name, peer.State, peer.Version, peer.Build.Or(unknown), protocol)
	}
}

// unknown stands for what a process of an earlier release does not tell.
const unknown = "unknown"

type orderShow struct {
	tool     *tool
	Argument struct {
		Organisation string `positional-arg-name:"ORG" required:"yes"`
		Key          string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *orderShow) Execute([]string) error {
	client, ctx, cancel, err := c.tool.client()
	if err != nil {
		return err
	}
	defer cancel()
	order, err := client.GetOrder(ctx, operatorapi.GetOrderParams{
		Organisation: c.Argument.Organisation, Key: c.Argument.Key,
	})
	if err != nil {
		return fromClientError(err)
	}
	encoder := json.NewEncoder(c.tool.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(order)
}

// completionScripts holds a script for each supported shell, which calls the program
// itself for completions.
var completionScripts = map[string]string{
	"bash": `_verbenaseam() {
	local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _verbenaseam verbenaseam
`,
	"zsh": `autoload -U +X bashcompinit && bashcompinit
_verbenaseam() {
	local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _verbenaseam verbenaseam
`,
}

type completionScript struct {
	tool     *tool
	Argument struct {
		Shell string `positional-arg-name:"bash|zsh" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *completionScript) Execute([]string) error {
	script, ok := completionScripts[c.Argument.Shell]
	if !ok {
		return &usageError{Message: fmt.Sprintf("unsupported shell %q: must be bash or zsh", c.Argument.Shell)}
	}
	_, err := fmt.Fprint(c.tool.out, script)
	return err
}

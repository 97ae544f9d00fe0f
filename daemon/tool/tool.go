package tool

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"verbenaseam.example/verbenaseam/daemon/command"
)

// Common holds the options of all commands.
type Common struct {
	Operator string        `long:"operator" value-name:"URL" env:"VERBENASEAM_OPERATOR" description:"URL of the operator API of an entry"`
	Key      string        `long:"key" value-name:"KEY" env:"VERBENASEAM_KEY" description:"Operator key"`
	Config   string        `long:"config" value-name:"FILE" env:"VERBENASEAM_CONFIG" description:"INI file with url and key in section [operator]"`
	Timeout  time.Duration `long:"timeout" value-name:"TIME" default:"15s" description:"Time limit of the command"`
	Version  func()        `long:"version" description:"Print the version and exit"`
}

// tool is the state that all commands share.
type tool struct {
	common Common
	out    io.Writer
}

// versionRequested is the panic value that ends parsing when --version is given.
type versionRequested struct{}

// Error implements error.
func (versionRequested) Error() string { return "version requested" }

// Main runs the command line and returns its exit status.
func Main(arguments []string, out, errOut io.Writer) (status int) {
	t := &tool{out: out}
	parser := t.parser()
	t.common.Version = func() { panic(versionRequested{}) }
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if _, ok := cause.(versionRequested); !ok {
			panic(cause)
		}
		_, _ = fmt.Fprintln(out, "verbenaseam", command.Version)
		status = command.ExitSuccess
	}()
	_, err := parser.ParseArgs(arguments)
	return reportError(err, out, errOut)
}

func (t *tool) parser() *flags.Parser {
	parser := flags.NewNamedParser("verbenaseam", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Exit status: 0 success, 1 refused or failed, 2 usage error, 3 entry unreachable."
	must(parser.AddGroup("Operator options", "", &t.common))
	tables := must(parser.AddCommand("tables", "Read and change the tables", "", &struct{}{}))
	must(tables.AddCommand("get", "Print the newest tables", "", &tablesGet{tool: t}))
	must(tables.AddCommand("diff", "Show the changes that applying a file would make", "", &tablesDiff{tool: t}))
	must(tables.AddCommand("apply", "Replace the tables by those in a file", "", &tablesApply{tool: t}))
	configuration := must(parser.AddCommand("config", "Check configurations", "", &struct{}{}))
	must(configuration.AddCommand("check", "Find problems of a tables file or platform's configuration before it is published; exit status 1 means findings", "", &configCheck{tool: t}))
	domain := must(parser.AddCommand("domain", "Take a failure domain out of service or bring it back", "", &struct{}{}))
	must(domain.AddCommand("out", "Send no new work to the failure domain", "", &domainState{tool: t, out: true}))
	must(domain.AddCommand("in", "Bring the failure domain back", "", &domainState{tool: t}))
	target := must(parser.AddCommand("target", "Change the state of a target", "", &struct{}{}))
	must(target.AddCommand("leave", "Send no new work to the target", "", &targetLeave{tool: t}))
	must(parser.AddCommand("status", "Show the targets and peers as seen by an entry", "", &statusShow{tool: t}))
	order := must(parser.AddCommand("order", "Inspect once-only orders", "", &struct{}{}))
	must(order.AddCommand("show", "Show the record of an order", "", &orderShow{tool: t}))
	must(parser.AddCommand("dev", "Run the whole system on loopback", "", &devRun{tool: t}))
	must(parser.AddCommand("demo", "Run the whole system on loopback and send it a mix of requests", "", &demoRun{tool: t}))
	must(parser.AddCommand("standins", "Run stand-ins for the platform, engines and services named in the settings files of a directory", "", &standinsRun{tool: t}))
	must(parser.AddCommand("soak", "Play days of faults against the platform's programs and check promises", "", &soakRun{tool: t}))
	must(parser.AddCommand("completion", "Print a shell completion script", "", &completionScript{tool: t}))
	return parser
}

// must returns value and panics on an error, which can only come from a wrong struct tag
// in this package.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// reportError prints an error, if any, and returns the exit status.
func reportError(err error, out, errOut io.Writer) int {
	if err == nil {
		return command.ExitSuccess
	}
	var parsing *flags.Error
	if errors.As(err, &parsing) {
		if parsing.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, parsing.Message)
			return command.ExitSuccess
		}
		_, _ = fmt.Fprintln(errOut, parsing.Message)
		return command.ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, err)
	var usage *usageError
	var unreachable *unreachableError
	switch {
	case errors.As(err, &usage):
		return command.ExitUsage
	case errors.As(err, &unreachable):
		return command.ExitUnreachable
	}
	return command.ExitRefused
}

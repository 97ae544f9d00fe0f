package tool

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"

	"verbenaseam.example/verbenaseam/api/gen/operatorapi"
)

type tablesGet struct {
	tool *tool
}

// Execute implements flags.Commander.
func (c *tablesGet) Execute([]string) error {
	client, ctx, cancel, err := c.tool.client()
	if err != nil {
		return err
	}
	defer cancel()
	tables, err := client.GetTables(ctx)
	if err != nil {
		return fromClientError(err)
	}
	_, _ = fmt.Fprintln(c.tool.out, "; version", tables.ETag)
	_, err = io.Copy(c.tool.out, tables.Response.Data)
	return err
}

type filePositional struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

type tablesDiff struct {
	tool     *tool
	Argument filePositional `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *tablesDiff) Execute([]string) error {
	client, ctx, cancel, err := c.tool.client()
	if err != nil {
		return err
	}
	defer cancel()
	content, err := readFile(c.Argument.File)
	if err != nil {
		return err
	}
	difference, err := client.DiffTables(ctx, operatorapi.DiffTablesReq{Data: bytes.NewReader(content)})
	if err != nil {
		return fromClientError(err)
	}
	_, _ = fmt.Fprintf(c.tool.out, "against version %d:\n", difference.Version)
	c.tool.printLines(difference.Lines)
	return nil
}

func readFile(name string) ([]byte, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, &usageError{Message: err.Error()}
	}
	return content, nil
}

func (t *tool) printLines(lines []string) {
	if len(lines) == 0 {
		_, _ = fmt.Fprintln(t.out, "no difference")
	}
	for _, line := range lines {
		_, _ = fmt.Fprintln(t.out, line)
	}
}

type tablesApply struct {
	tool     *tool
	Expect   uint64         `long:"expect-version" value-name:"N" required:"yes" description:"Version of the tables that the file is based on"`
	ChangeID string         `long:"change-id" value-name:"ID" description:"ID of the change; repeat it to retry a change whose response was lost"`
	Argument filePositional `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *tablesApply) Execute([]string) error {
	client, ctx, cancel, err := c.tool.client()
	if err != nil {
		return err
	}
	defer cancel()
	content, err := readFile(c.Argument.File)
	if err != nil {
		return err
	}
	id := c.ChangeID
	if id == "" {
		id = uuid.NewString()
	}
	change, err := client.PutTables(ctx, operatorapi.PutTablesReq{Data: bytes.NewReader(content)}, operatorapi.PutTablesParams{
		IfMatch:   fmt.Sprintf("%q", fmt.Sprint(c.Expect)),
		XChangeID: operatorapi.NewOptString(id),
	})
	if err != nil {
		return fromClientError(err)
	}
	return c.tool.awaitConfirmation(ctx, client, change)
}

type namePositional struct {
	Name string `positional-arg-name:"NAME" required:"yes"`
}

type domainState struct {
	tool     *tool
	out      bool
	Argument namePositional `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *domainState) Execute([]string) error {
	client, ctx, cancel, err := c.tool.client()
	if err != nil {
		return err
	}
	defer cancel()
	request := &operatorapi.SetDomainReq{State: operatorapi.SetDomainReqStateIn}
	if c.out {
		request.State = operatorapi.SetDomainReqStateOut
	}
	change, err := client.SetDomain(ctx, request, operatorapi.SetDomainParams{Name: c.Argument.Name})
	if err != nil {
		return fromClientError(err)
	}
	return c.tool.awaitConfirmation(ctx, client, change)
}

type targetLeave struct {
	tool     *tool
	Argument namePositional `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *targetLeave) Execute([]string) error {
	client, ctx, cancel, err := c.tool.client()
	if err != nil {
		return err
	}
	defer cancel()
	change, err := client.LeaveTarget(ctx, operatorapi.LeaveTargetParams{Name: c.Argument.Name})
	if err != nil {
		return fromClientError(err)
	}
	return c.tool.awaitConfirmation(ctx, client, change)
}

const confirmInterval = 100 * time.Millisecond

// awaitConfirmation waits until every process has confirmed a change. If ctx ends first
// it fails with unconfirmedError, which names the processes that have not.
func (t *tool) awaitConfirmation(ctx context.Context, client *operatorapi.Client, change *operatorapi.Change) error {
	_, _ = fmt.Fprintf(t.out, "version %d accepted\n", change.Version)
	missing := []string{}
	for {
		state, err := client.GetConfirmations(ctx, operatorapi.GetConfirmationsParams{Version: change.Version})
		if err == nil && len(state.Missing) == 0 {
			_, _ = fmt.Fprintf(t.out, "in force on all %d processes\n", len(state.Confirmed))
			return nil
		}
		if err == nil {
			missing = state.Missing
		} else if ctx.Err() == nil {
			return fromClientError(err)
		}
		select {
		case <-time.After(confirmInterval):
		case <-ctx.Done():
			return &unconfirmedError{Missing: missing}
		}
	}
}

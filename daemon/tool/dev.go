package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/daemon/demo"
	"verbenaseam.example/verbenaseam/daemon/dev"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
)

// devOptions holds the options of a system on loopback.
type devOptions struct {
	PortBase   int           `long:"port-base" value-name:"P" default:"18100" description:"Port of the first entry; the system uses 64 ports from this one on"`
	EntriesTTL time.Duration `long:"entries-ttl" value-name:"TIME" default:"1s" description:"How long callers may cache the list of entries"`
	LogLevel   string        `long:"log-level" default:"warning" description:"Log level: debug, info, warning or error"`
}

func (o *devOptions) start(ctx context.Context) (*dev.System, error) {
	if o.PortBase < 1024 || o.PortBase+dev.PortSpan > 65535 {
		return nil, &usageError{Message: fmt.Sprintf("--port-base %d out of range: must be %d to %d", o.PortBase, 1024, 65535-dev.PortSpan)}
	}
	return dev.Start(ctx, dev.Config{
		PortBase:   o.PortBase,
		EntriesTTL: o.EntriesTTL,
		Logger:     logs.New(os.Stderr, settings.Log{Format: "text", Level: o.LogLevel}),
	})
}

type devRun struct {
	devOptions
	tool *tool
}

// Execute implements flags.Commander.
func (c *devRun) Execute([]string) error {
	ctx, abort, stop := command.Signals()
	defer stop()
	system, err := c.start(ctx)
	if err != nil {
		return err
	}
	line, err := json.Marshal(system.Description)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.tool.out, "%s\nready\n", line)
	<-ctx.Done()
	system.Stop(abort)
	return nil
}

type demoRun struct {
	devOptions
	tool    *tool
	Phase   time.Duration `long:"phase" value-name:"TIME" default:"3s" description:"Length of each phase"`
	Callers int           `long:"callers" value-name:"N" default:"12" description:"Number of concurrent callers"`
}

// Execute implements flags.Commander.
func (c *demoRun) Execute([]string) error {
	ctx, abort, stop := command.Signals()
	defer stop()
	system, err := c.start(ctx)
	if err != nil {
		return err
	}
	defer system.Stop(abort)
	return demo.Run(ctx, system, demo.Config{Phase: c.Phase, Callers: c.Callers}, c.tool.out)
}

type standinsRun struct {
	tool     *tool
	Argument struct {
		Directory string `positional-arg-name:"DIRECTORY" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *standinsRun) Execute([]string) error {
	ctx, _, stop := command.Signals()
	defer stop()
	standins, err := dev.StartStandins(c.Argument.Directory)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(c.tool.out, "ready")
	standins.Run(ctx)
	return nil
}

package rank

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
)

// Agent is the process.
type Agent struct {
	settings settings.Rank
	log      *logrus.Entry
}

// Load reads and checks the settings in an INI file and returns how to start
// the process with them.
func Load(file string) (func() (command.Daemon, error), error) {
	loaded, err := settings.LoadRank(file)
	if err != nil {
		return nil, err
	}
	return func() (command.Daemon, error) {
		return &Agent{settings: loaded, log: logs.Part(logs.New(os.Stdout, loaded.Log), "rank")}, nil
	}, nil
}

// Run implements command.Daemon.
func (a *Agent) Run(ctx, _ context.Context) error {
	a.log.WithField("name", a.settings.Name).Info("started")
	<-ctx.Done()
	a.log.Info("stopped")
	return nil
}

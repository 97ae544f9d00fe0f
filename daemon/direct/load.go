package direct

import (
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
)

// Load reads and checks the settings in an INI file and returns a function that
// creates the daemon with them.
func Load(file string) (func() (command.Daemon, error), error) {
	loaded, err := settings.LoadDirect(file)
	if err != nil {
		return nil, err
	}
	build := func(logger *logrus.Logger) command.Daemon {
		logs.ReportIgnoredKeys(logger, loaded.IgnoredKeys)
		if loaded.Memory > 0 {
			command.LimitMemory(runtimeBytes(loaded.Memory))
		}
		store := platform.NewStore(loaded.StoreAddress)
		return New(Config{Settings: loaded, File: file, Store: store, Clock: clockwork.NewRealClock(), Logger: logger})
	}
	return func() (command.Daemon, error) { return command.WithLogger(loaded.Log, build), nil }, nil
}

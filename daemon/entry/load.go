package entry

import (
	"os"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
)

// Load reads and checks the settings in an INI file and returns a function that
// creates the daemon with them.
func Load(file string) (func() (command.Daemon, error), error) {
	loaded, err := settings.LoadEntry(file)
	if err != nil {
		return nil, err
	}
	return func() (command.Daemon, error) {
		logger := logs.New(os.Stderr, loaded.Log)
		logs.ReportIgnoredKeys(logger, loaded.IgnoredKeys)
		return New(Config{
			Settings: loaded,
			Platform: platform.NewService(platform.NewStore(loaded.Platform.StoreAddress)),
			Clock:    clockwork.NewRealClock(),
			Logger:   logger,
		})
	}, nil
}

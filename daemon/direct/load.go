package direct

import (
	"os"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
)

// Load reads and checks the settings in an INI file and returns how to start
// the process with them.
func Load(file string) (func() (command.Daemon, error), error) {
	loaded, err := settings.LoadDirect(file)
	if err != nil {
		return nil, err
	}
	return func() (command.Daemon, error) {
		log := logs.NewBounded(os.Stdout)
		daemon := New(Config{
			Settings: loaded, File: file,
			Store:  platform.NewStore(loaded.StoreAddress),
			Clock:  clockwork.NewRealClock(),
			Logger: logs.New(log, loaded.Log),
		})
		return command.Closing(daemon, log), nil
	}, nil
}

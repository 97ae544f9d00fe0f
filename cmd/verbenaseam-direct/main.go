// Command verbenaseam-direct is the entry of a platform whose targets take
// requests themselves.
package main

import (
	"os"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/daemon/direct"
	"verbenaseam.example/verbenaseam/platform"
)

func main() {
	os.Exit(command.Main("verbenaseam-direct", command.WithConfig(os.Args[1:], platform.SettingsFile()), direct.Load))
}

// Command verbenaseam-direct is the entry process for a platform whose targets receive
// requests directly.
package main

import (
	"os"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/daemon/direct"
	"verbenaseam.example/verbenaseam/platform"
)

func main() {
	os.Exit(command.Main("verbenaseam-direct", command.PrependConfigOption(os.Args[1:], platform.SettingsFile()), direct.Load))
}

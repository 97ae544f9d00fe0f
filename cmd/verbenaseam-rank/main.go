// Command verbenaseam-rank is the agent of one rank of a lock-step group on a platform
// whose targets receive requests directly.
package main

import (
	"os"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/daemon/rank"
	"verbenaseam.example/verbenaseam/platform"
)

func main() {
	os.Exit(command.Main("verbenaseam-rank", command.PrependConfigOption(os.Args[1:], platform.SettingsFile()), rank.Load))
}

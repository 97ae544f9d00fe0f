// Command verbenaseam-rank is the agent beside one rank of a lock-step group on
// a platform whose targets take requests themselves.
package main

import (
	"os"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/daemon/rank"
	"verbenaseam.example/verbenaseam/platform"
)

func main() {
	os.Exit(command.Main("verbenaseam-rank", command.WithConfig(os.Args[1:], platform.SettingsFile()), rank.Load))
}

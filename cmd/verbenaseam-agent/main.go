// Command verbenaseam-agent runs on a target's host and admits requests to the target's
// engine or plain service.
package main

import (
	"os"

	"verbenaseam.example/verbenaseam/daemon/agent"
	"verbenaseam.example/verbenaseam/daemon/command"
)

func main() {
	os.Exit(command.Main("verbenaseam-agent", os.Args[1:], agent.Load))
}

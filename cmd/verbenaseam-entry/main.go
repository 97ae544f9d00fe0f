// Command verbenaseam-entry is the entry process, which serves the caller API and the
// operator API.
package main

import (
	"os"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/daemon/entry"
)

func main() {
	os.Exit(command.Main("verbenaseam-entry", os.Args[1:], entry.Load))
}

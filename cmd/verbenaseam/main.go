// Command verbenaseam is the operator's command line tool. It can also run the whole
// system on loopback, for development and demonstrations.
package main

import (
	"os"

	"verbenaseam.example/verbenaseam/daemon/tool"
)

func main() {
	os.Exit(tool.Main(os.Args[1:], os.Stdout, os.Stderr))
}

// Command review-2 plays the scripts of the second independent review. Each starts the project's
// programs as separate processes on loopback addresses, with stand-ins of the store, the runners
// and the callers, and checks one rule by what callers and runners see.
package main

import (
	"fmt"
	"os"
)

// cases holds the scripts by name. Each gets its folder and returns an exit status.
var cases = map[string]func(folder string) int{
	"endless-answer": endlessAnswer,
	"evacuated-zone": evacuatedZone,
	"withdrawn-key":  withdrawn,
	"mixed-maps":     mixedMaps,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(cases[os.Args[1]](os.Args[2]))
}

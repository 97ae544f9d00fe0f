// Command review starts the project's programs as separate processes beside stand-ins of the
// users' platform, causes a disruption and checks a rule. See review/REPORT.md.
//
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each gets its folder and whether to cause the disruption.
var cases = map[string]func(*bench) (broken bool, err error){
	"bursts":  runBursts,
	"drain":   runDrain,
	"parts":   runParts,
	"maps":    runMaps,
	"recover": runRecover,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	b, err := newBench(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer b.close()
	b.endOnSignal()
	broken, err := cases[name](b)
	switch {
	case err != nil:
		b.record("result: the case could not run: %v", err)
		return exitFailed
	case broken:
		b.record("result: the rule was broken")
		return exitBroken
	}
	b.record("result: the rule held")
	return exitHeld
}

// Command review-3 plays the scripted cases of the third review: it starts entries as separate
// processes, with stand-ins for the platform's store, runners and clients in this process.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// cases are the scripted cases by number. Each returns whether the rule was broken.
var cases = map[string]func(*system, bool) (bool, error){
	"11": silentConnections,
	"13": silentMove,
	"15": soundPart,
	"14": restoredRunner,
}

// errUsage means that the command line names no case.
var errUsage = errors.New("usage: review-3 CASE RECORD")

func main() {
	broken, err := run(os.Args[1:], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// run plays a case and writes its record. trouble says whether with its disruption.
func run(arguments []string, trouble bool) (broken bool, err error) {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		return false, errUsage
	}
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(directory)
	file, err := os.Create(arguments[1])
	if err != nil {
		return false, err
	}
	defer file.Close()
	s := newSystem(directory, &record{out: file, began: time.Now()})
	defer s.close()
	s.record.note("case %s, trouble %v", arguments[0], trouble)
	broken, err = cases[arguments[0]](s, trouble)
	if err != nil {
		s.record.note("the case could not run: %v", err)
		return false, err
	}
	s.record.note("rule broken: %v", broken)
	return broken, nil
}

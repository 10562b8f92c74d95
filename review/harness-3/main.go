//go:build review3

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// setup is what a case gets: its record, a temporary folder, the repository, and whether the disruption is played.
type setup struct {
	record  *record
	folder  string
	root    string
	trouble bool
}

// cases are the scripted cases by name. Each returns whether the rule held, or an error if the case could not run.
var cases = map[string]func(setup setup) (held bool, err error){
	"crashing-request": crashingRequest,
	"dark-request":     darkRequest,
	"crashing-part":    crashingPart,
	"sound-neighbours": soundNeighbours,
	"stale-seeds":      staleSeeds,
}

func main() { os.Exit(run1()) }

func run1() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE RECORD")
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	root, err := filepath.Abs(".")
	if err != nil {
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.say("case %s, disruption %v", os.Args[1], trouble)
	held, err := cases[os.Args[1]](setup{record, folder, root, trouble})
	switch {
	case err != nil:
		record.say("the case could not run: %v", err)
		return exitFailed
	case !held:
		record.say("the rule is broken")
		return exitBroken
	}
	record.say("the rule held")
	return exitHeld
}

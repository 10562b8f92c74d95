// Command review-2 runs the scripted cases of the second review. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// timeLimit is the time after which a case counts as one that could not run.
const timeLimit = 115 * time.Second

// outcome is the result of a case.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	failed outcome = 2
)

var cases = map[string]func(r *record, trouble bool) (outcome, string){
	"drain-repeat":    drainRepeat,
	"revoke-race":     revokeRace,
	"last-tenant":     lastTenant,
	"closed-relisted": closedRelisted,
	"token-count":     tokenCount,
	"deadly-part":     deadlyPartCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD, in the root of the repository")
		os.Exit(int(failed))
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(failed))
	}
	runtime.LockOSThread() // The entries end with the thread that started them.
	time.AfterFunc(timeLimit, func() {
		r.add("result %d: time limit", failed)
		os.Exit(int(failed))
	})
	result, text := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	r.add("result %d: %s", result, text)
	fmt.Println(text)
	os.Exit(int(result))
}

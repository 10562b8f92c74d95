package main_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against garbage that runners write between the events of a stream and that callers get as events: blocks without an id,
// and ids that do not rise. The test uses real time, since the entries are separate processes.
func TestGarbageBetweenEventsReachesNoCaller(t *testing.T) {
	soak := newSoak(t, 0)
	soak.awaitServing(0)
	for _, runner := range soak.runners {
		runner.SetGarbling(true)
	}
	for number := range 80 {
		soak.call(2, number%soakEntries)
	}
	soak.reportViolations()
	assert.Greater(t, soak.served.Load(), int64(20), "hardly any stream was served")
}

package main_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against garbage that runners write between the events of a stream and that callers get as events: blocks without an id,
// and ids that do not rise. The test uses real time, since the entries are separate processes.
func TestGarbageBetweenEventsReachesNoCaller(t *testing.T) {
	soak := newSoak(t, 0)
	require.Eventually(t, func() bool {
		soak.call(2, 0)
		return soak.served.Load() > 0
	}, 20*time.Second, 20*time.Millisecond, "no entry serves")
	for _, runner := range soak.runners {
		runner.SetGarbling(true)
	}
	for number := range 80 {
		soak.call(2, number%soakEntries)
	}
	close(soak.violations)
	for violation := range soak.violations {
		t.Error(violation)
	}
	assert.Greater(t, soak.served.Load(), int64(20), "hardly any stream was served")
}

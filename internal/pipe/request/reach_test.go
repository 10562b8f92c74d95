package request_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// firstTokenTarget is the longest acceptable time to the first token of a short answer.
const firstTokenTarget = 490 * time.Millisecond

// Guards against requests that wait for the retry budget after most servers have crashed,
// although one server can still answer.
func TestLiveServerIsReachedWhileMostAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newRetryFixture(t, 7, runnerSettings, retry.PolicyResume)
		for _, name := range fixture.names[1:] {
			fixture.runners[name].Crash()
		}
		for number := range 8 {
			assert.Less(t, sendAndCheck(t.Context(), t, fixture, "menu", number), firstTokenTarget, "request %d", number)
		}
	})
}

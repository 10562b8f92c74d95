package request_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// firstTokenTarget is the time in which a short answer's first token is due.
const firstTokenTarget = 490 * time.Millisecond

// Guards against requests that wait for the retry budget while most servers are gone and one could answer.
func TestLiveServerIsReachedWhileMostAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newRecoveryFixture(t, 7, recoverySettings, retry.PolicyResume)
		for _, name := range fixture.names[1:] {
			fixture.group[name].Crash()
		}
		for number := range 8 {
			assert.Less(t, sendOne(t.Context(), t, fixture, "menu", number), firstTokenTarget, "request %d", number)
		}
	})
}

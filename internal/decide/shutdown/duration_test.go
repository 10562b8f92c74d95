package shutdown_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/shutdown"
)

// estimate returns the estimate after 200 calls that take between shortest and longest.
func estimate(shortest, longest time.Duration) shutdown.Duration {
	random, duration := rand.New(rand.NewPCG(1, 2)), shutdown.Duration{}
	for range 200 {
		duration = duration.WithSample(shortest + time.Duration(random.Int64N(int64(longest-shortest)+1)))
	}
	return duration
}

// Guards against calls that are taken although a stop cuts them off, and against calls that are refused although they end before.
func TestCallIsTakenIfItEndsBeforeTheCutoff(t *testing.T) {
	const timeLeft = 4 * time.Second
	start := time.Unix(1000, 0)
	cases := []struct {
		name     string
		duration shutdown.Duration
		deadline time.Duration
		want     bool
	}{
		{"short calls", estimate(20*time.Millisecond, 60*time.Millisecond), 15 * time.Second, true},
		{"calls that always take nearly as long as is left", estimate(3900*time.Millisecond, 3900*time.Millisecond), 15 * time.Second, true},
		{"calls that take longer", estimate(5*time.Second, 6*time.Second), 15 * time.Second, false},
		{"calls of which some take longer", estimate(time.Second, 5*time.Second), 15 * time.Second, false},
		{"calls that take longer than their deadline leaves them", estimate(5*time.Second, 6*time.Second), timeLeft, true},
		{"no call before", shutdown.Duration{}, 15 * time.Second, false},
		{"no call before, with a deadline that is met", shutdown.Duration{}, time.Second, true},
		{"one call before", shutdown.Duration{}.WithSample(time.Second), 15 * time.Second, true},
		{"calls that have become longer", estimate(20*time.Millisecond, 60*time.Millisecond).WithSample(5 * time.Second).WithSample(5 * time.Second), 15 * time.Second, false},
	}
	for _, c := range cases {
		assert.Equal(t, c.want, c.duration.CanEnd(start, start.Add(c.deadline), start.Add(timeLeft)), c.name)
	}
}

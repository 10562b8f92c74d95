package order_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/order"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
)

const server = "s"

// never is longer than a test.
const never = 1000 * time.Hour

// Guards against an order of a leader whose lease has expired that overwrites an order of
// the next leader.
//
// The name of a case begins with how the server treats lower fencing numbers. The cases
// named "broken" leave out one of the protections, and the order must take effect there,
// which shows that the test detects it.
func TestOrderOfAnOldLeaderDoesNotWin(t *testing.T) {
	// Without the lease and order times, a new leader does not wait for the old leader's orders.
	withoutWait := func(timing order.Timing) order.Timing {
		timing.Lease, timing.MaxOrderTime = 0, 0
		return timing
	}
	// Without further reads, a leader does not notice that an earlier leader's order took effect.
	withoutRereads := func(timing order.Timing) order.Timing {
		timing.ReadInterval = never
		return timing
	}
	unchanged := func(timing order.Timing) order.Timing { return timing }
	maxOrderTime := order.DefaultTiming(duty.LeaseTTL).MaxOrderTime
	cases := []struct {
		name    string
		fencing config.Fencing
		// enforces is whether the server really refuses lower fencing numbers, whatever it is
		// configured to do.
		enforces bool
		timing   func(order.Timing) order.Timing
		old      behaviour
		// nextVersion is the version that the next leader orders. If it is "first", which the
		// server has already, the next leader sends no order.
		nextVersion string
		// reverted is whether the old leader's order takes effect after the next leader has
		// read its own version, and permanent whether it stays in effect.
		reverted, permanent bool
	}{
		{"refuses, resumes after a pause", config.FencingRefuses, true, unchanged, behaviour{pause: time.Minute, repeats: 3}, "next", false, false},
		{"refuses, order late", config.FencingRefuses, true, unchanged, behaviour{effectDelay: 2 * time.Minute}, "next", false, false},
		{"refuses, order late, next leader sends no order", config.FencingRefuses, true, withoutRereads, behaviour{effectDelay: 2 * time.Minute}, "first", false, false},
		{"broken: no fencing number", config.FencingRefuses, true, withoutRereads, behaviour{pause: time.Minute, repeats: 3, forgesNumber: true}, "next", true, true},
		{"broken: no fencing number, state read again", config.FencingRefuses, true, unchanged, behaviour{pause: time.Minute, forgesNumber: true}, "next", true, false},
		{"configured to refuse but ignores, order late", config.FencingRefuses, false, unchanged, behaviour{effectDelay: maxOrderTime}, "next", false, false},
		{"ignores, order late", config.FencingIgnores, false, unchanged, behaviour{effectDelay: maxOrderTime}, "next", false, false},
		{"fencing not configured, order late", "", false, unchanged, behaviour{effectDelay: maxOrderTime}, "next", false, false},
		{"ignores, paused for the lease time, order late", config.FencingIgnores, false, withoutRereads, behaviour{pause: duty.LeaseTTL, effectDelay: maxOrderTime}, "next", false, false},
		{"broken: no wait", config.FencingIgnores, false, func(timing order.Timing) order.Timing { return withoutWait(withoutRereads(timing)) }, behaviour{effectDelay: maxOrderTime}, "next", true, true},
		{"broken: no wait, state read again", config.FencingIgnores, false, withoutWait, behaviour{effectDelay: maxOrderTime}, "next", true, false},
		{"ignores, paused for long", config.FencingIgnores, false, unchanged, behaviour{pause: 5 * time.Minute, repeats: 3}, "next", true, false},
		{"broken: paused for long, state not read again", config.FencingIgnores, false, withoutRereads, behaviour{pause: 5 * time.Minute, repeats: 3}, "next", true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				environment := newEnvironment().withServer(server, c.fencing, c.enforces)
				environment.timing = c.timing(environment.timing)
				old, next := environment.newCandidate("first"), environment.newCandidate(c.nextVersion)
				c.old.version, c.old.frozenUntil = "old", time.Now().Add(never)
				var finalVersion string
				environment.runCandidates(t, []*candidate{old, next}, func() {
					<-time.After(2 * time.Minute)
					assert.Equal(t, "first", environment.version(server))
					// The old leader stops renewing its lease and sends an order shortly before the
					// lease expires.
					old.behaviour.Store(behaviour{version: "first", frozenUntil: c.old.frozenUntil})
					<-time.After(time.Until(old.leadership.Load().Until()) - pollInterval - 100*time.Millisecond)
					old.behaviour.Store(c.old)
					<-time.After(8 * time.Minute)
					finalVersion = environment.version(server)
				})
				assert.Greater(t, next.lastNumber.Load(), old.lastNumber.Load())
				assert.Equal(t, c.reverted, environment.reverted(server), "changes: %+v", environment.changes.Load())
				want := c.nextVersion
				if c.permanent {
					want = "old"
				}
				assert.Equal(t, want, finalVersion)
			})
		})
	}
}

// Guards against a delayed order that overwrites a later order of the same leader. Both
// have the same fencing number, so the server cannot distinguish them.
func TestLateOrderDoesNotOverwriteALaterOneOfItsLeader(t *testing.T) {
	for _, fencing := range []config.Fencing{config.FencingRefuses, config.FencingIgnores} {
		synctest.Test(t, func(t *testing.T) {
			environment := newEnvironment().withServer(server, fencing, fencing == config.FencingRefuses)
			environment.timing.ReadInterval = never
			leader := environment.newCandidate("0")
			environment.runCandidates(t, []*candidate{leader}, func() {
				<-time.After(2 * time.Minute)
				leader.behaviour.Store(behaviour{version: "1", effectDelay: environment.timing.MaxOrderTime - time.Second})
				<-time.After(pollInterval + environment.timing.CallTimeout - time.Second)
				leader.behaviour.Store(behaviour{version: "2"})
				<-time.After(5 * time.Minute)
				assert.Equal(t, "2", environment.version(server), fencing)
			})
		})
	}
}

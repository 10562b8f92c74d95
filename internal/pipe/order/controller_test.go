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

// Guards against the order of a holder whose lease has lapsed that wins over that of the next holder.
//
// The broken cases leave out what protects from it, and must fail the same check.
func TestOrderOfAnOldHolderDoesNotWin(t *testing.T) {
	unprotected := func(timing order.Timing) order.Timing {
		timing.Lease, timing.MaxOrderTime = 0, 0
		return timing
	}
	unverified := func(timing order.Timing) order.Timing {
		timing.ReadInterval = never
		return timing
	}
	complete := func(timing order.Timing) order.Timing { return timing }
	longest := order.DefaultTiming(duty.LeaseTTL).MaxOrderTime
	cases := []struct {
		name    string
		fencing config.Fencing
		// refuses is what the server truly does.
		refuses bool
		timing  func(order.Timing) order.Timing
		old     conduct
		// wanted is what the next holder orders, "first" being there already.
		wanted string
		// reverted and lost are whether the old order wins for a time, and for good.
		reverted, lost bool
	}{
		{"refuses, wakes up and goes on", config.FencingRefuses, true, complete, conduct{pause: time.Minute, insists: 3}, "next", false, false},
		{"refuses, order late", config.FencingRefuses, true, complete, conduct{late: 2 * time.Minute}, "next", false, false},
		{"refuses, order late, nothing to order", config.FencingRefuses, true, unverified, conduct{late: 2 * time.Minute}, "first", false, false},
		{"broken: no fencing number", config.FencingRefuses, true, unverified, conduct{pause: time.Minute, insists: 3, forges: true}, "next", true, true},
		{"broken: no fencing number, verified", config.FencingRefuses, true, complete, conduct{pause: time.Minute, forges: true}, "next", true, false},
		{"wrongly said to refuse, order late", config.FencingRefuses, false, complete, conduct{late: longest}, "next", false, false},
		{"ignores, order late", config.FencingIgnores, false, complete, conduct{late: longest}, "next", false, false},
		{"empty, order late", "", false, complete, conduct{late: longest}, "next", false, false},
		{"ignores, paused for the lease time, order late", config.FencingIgnores, false, unverified, conduct{pause: duty.LeaseTTL, late: longest}, "next", false, false},
		{"broken: no wait", config.FencingIgnores, false, func(timing order.Timing) order.Timing { return unprotected(unverified(timing)) }, conduct{late: longest}, "next", true, true},
		{"broken: no wait, verified", config.FencingIgnores, false, unprotected, conduct{late: longest}, "next", true, false},
		{"ignores, paused for long", config.FencingIgnores, false, complete, conduct{pause: 5 * time.Minute, insists: 3}, "next", true, false},
		{"broken: paused for long, not verified", config.FencingIgnores, false, unverified, conduct{pause: 5 * time.Minute, insists: 3}, "next", true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld().withServer(server, c.fencing, c.refuses)
				world.timing = c.timing(world.timing)
				old, next := world.newHolder("first"), world.newHolder(c.wanted)
				c.old.version, c.old.frozen = "old", time.Now().Add(never)
				var version string
				world.during(t, []*holder{old, next}, func() {
					<-time.After(2 * time.Minute)
					assert.Equal(t, "first", world.version(server))
					// The old holder no longer renews, and orders shortly before its time is up.
					old.conduct.Store(conduct{version: "first", frozen: c.old.frozen})
					<-time.After(time.Until(old.holding.Load().Until()) - look - 100*time.Millisecond)
					old.conduct.Store(c.old)
					<-time.After(8 * time.Minute)
					version = world.version(server)
				})
				assert.Greater(t, next.newest.Load(), old.newest.Load())
				assert.Equal(t, c.reverted, world.reverted(server), "changes: %+v", world.changes.Load())
				want := c.wanted
				if c.lost {
					want = "old"
				}
				assert.Equal(t, want, version)
			})
		})
	}
}

// Guards against a late order that overwrites a later one of the same holder, which has the same fencing number.
func TestLateOrderDoesNotOverwriteALaterOneOfItsHolder(t *testing.T) {
	for _, fencing := range []config.Fencing{config.FencingRefuses, config.FencingIgnores} {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld().withServer(server, fencing, fencing == config.FencingRefuses)
			world.timing.ReadInterval = never
			only := world.newHolder("0")
			world.during(t, []*holder{only}, func() {
				<-time.After(2 * time.Minute)
				only.conduct.Store(conduct{version: "1", late: world.timing.MaxOrderTime - time.Second})
				<-time.After(look + world.timing.CallTimeout - time.Second)
				only.conduct.Store(conduct{version: "2"})
				<-time.After(5 * time.Minute)
				assert.Equal(t, "2", world.version(server), fencing)
			})
		})
	}
}

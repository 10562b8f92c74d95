package order_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
)

// event changes the behaviour of one candidate and the faults of the lease service.
type event struct {
	// after is the time since the previous event.
	after        time.Duration
	candidate    int
	frozenFor    time.Duration
	pause        time.Duration
	effectDelay  time.Duration
	losesAnswers bool
	version      string
	// unavailable is whether the lease service is unavailable from this event on, and
	// lostLeaseAnswers the number of its next answers that are lost.
	unavailable      bool
	lostLeaseAnswers int
}

func seconds(from, to int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(from, to), func(count int) time.Duration { return time.Duration(count) * time.Second })
}

// Guards against interleavings of pauses, delayed orders, lost answers and outages of the
// lease service after which a server does not have the version that the last leader
// ordered, or in which an earlier leader's order took effect after a later leader had
// read its own version.
func TestNewestLeaderWinsInAnyInterleaving(t *testing.T) {
	const candidates = 3
	rapid.Check(t, func(check *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(check *rapid.T) event {
			return event{
				after:     seconds(1, 60).Draw(check, "after"),
				candidate: rapid.IntRange(0, candidates-1).Draw(check, "candidate"),
				frozenFor: seconds(0, 60).Draw(check, "frozenFor"),
				// At a server that ignores fencing numbers, the effect of a longer pause is
				// corrected, but not prevented.
				pause: seconds(0, int(duty.LeaseTTL/time.Second)).Draw(check, "pause"),
				// The delay stays below the longest time of an order, MaxOrderTime, of 30 s.
				effectDelay:      seconds(0, 29).Draw(check, "effectDelay"),
				losesAnswers:     rapid.Bool().Draw(check, "losesAnswers"),
				version:          rapid.SampledFrom([]string{"1", "2", "3"}).Draw(check, "version"),
				unavailable:      rapid.Bool().Draw(check, "unavailable"),
				lostLeaseAnswers: rapid.IntRange(0, 2).Draw(check, "lostLeaseAnswers"),
			}
		}), 1, 12).Draw(check, "events")
		synctest.Test(t, func(t *testing.T) {
			environment := newEnvironment().withServer("refuses", config.FencingRefuses, true).withServer("ignores", config.FencingIgnores, false)
			entries := []*candidate{environment.newCandidate("1"), environment.newCandidate("2"), environment.newCandidate("3")}
			var versions []string
			var lastLeader *candidate
			environment.runCandidates(t, entries, func() {
				for _, event := range events {
					<-time.After(event.after)
					environment.leases.Inject(event.unavailable, event.lostLeaseAnswers)
					entries[event.candidate].behaviour.Store(behaviour{
						version: event.version, frozenUntil: time.Now().Add(event.frozenFor), pause: event.pause, effectDelay: event.effectDelay, losesAnswers: event.losesAnswers,
					})
				}
				environment.leases.Inject(false, 0)
				for _, candidate := range entries {
					candidate.behaviour.Update(func(current behaviour) behaviour { return behaviour{version: current.version} })
				}
				<-time.After(5 * time.Minute)
				lastLeader = entries[0]
				for _, candidate := range entries {
					if candidate.lastNumber.Load() > lastLeader.lastNumber.Load() {
						lastLeader = candidate
					}
				}
				versions = []string{environment.version("refuses"), environment.version("ignores")}
			})
			want := lastLeader.behaviour.Load().version
			if !assert.Equal(t, []string{want, want}, versions) || environment.reverted("refuses") || environment.reverted("ignores") {
				check.Fatalf("changes: %+v", environment.changes.Load())
			}
		})
	})
}

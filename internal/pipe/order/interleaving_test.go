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

// event is a change of conduct at one holder, or of the key-value service, some time after the one before.
type event struct {
	after   time.Duration
	holder  int
	frozen  time.Duration
	pause   time.Duration
	late    time.Duration
	lose    bool
	version string
	out     bool
	lost    int
}

func seconds(from, to int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(from, to), func(count int) time.Duration { return time.Duration(count) * time.Second })
}

// Guards against interleavings of pauses, late orders, lost answers and outages
// after which a server is not as the newest holder ordered, or was taken back
// by an older holder after the newer one had read its own order back.
func TestNewestHolderWinsInAnyInterleaving(t *testing.T) {
	const holders = 3
	rapid.Check(t, func(check *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(check *rapid.T) event {
			return event{
				after:  seconds(1, 60).Draw(check, "after"),
				holder: rapid.IntRange(0, holders-1).Draw(check, "holder"),
				frozen: seconds(0, 60).Draw(check, "frozen"),
				// A longer pause is repaired, but not prevented, at a server that ignores numbers.
				pause:   seconds(0, int(duty.LeaseTTL/time.Second)).Draw(check, "pause"),
				late:    seconds(0, 29).Draw(check, "late"),
				lose:    rapid.Bool().Draw(check, "lose"),
				version: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(check, "version"),
				out:     rapid.Bool().Draw(check, "out"),
				lost:    rapid.IntRange(0, 2).Draw(check, "lost"),
			}
		}), 1, 12).Draw(check, "events")
		synctest.Test(t, func(t *testing.T) {
			world := newWorld().withServer("refuses", config.FencingRefuses, true).withServer("ignores", config.FencingIgnores, false)
			all := []*holder{world.newHolder("1"), world.newHolder("2"), world.newHolder("3")}
			var got []string
			var newest *holder
			world.during(t, all, func() {
				for _, event := range events {
					<-time.After(event.after)
					world.leases.Inject(event.out, event.lost)
					all[event.holder].conduct.Store(conduct{
						version: event.version, frozen: time.Now().Add(event.frozen), pause: event.pause, late: event.late, lose: event.lose,
					})
				}
				world.leases.Inject(false, 0)
				for _, holder := range all {
					holder.conduct.Update(func(now conduct) conduct { return conduct{version: now.version} })
				}
				<-time.After(5 * time.Minute)
				newest = all[0]
				for _, holder := range all {
					if holder.newest.Load() > newest.newest.Load() {
						newest = holder
					}
				}
				got = []string{world.version("refuses"), world.version("ignores")}
			})
			want := newest.conduct.Load().version
			if !assert.Equal(t, []string{want, want}, got) || world.reverted("refuses") || world.reverted("ignores") {
				check.Fatalf("changes: %+v", world.changes.Load())
			}
		})
	})
}

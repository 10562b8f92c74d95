package share_test

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// lose cuts the entries that read the store first off from the store and from all others for good, and returns the remaining ones.
func (fleet *fleet) lose(readers int) []string {
	lost, remaining := map[string]bool{}, []string{}
	for name, shared := range fleet.shared {
		if shared.Fleet().StoreReadRank() < readers {
			lost[name] = true
		} else {
			remaining = append(remaining, name)
		}
	}
	fleet.partitioned.Store(lost)
	fleet.store.unavailable.Store(maps.Clone(lost))
	return remaining
}

// Guards against calls to servers that left while the entries which read the store were lost: the time without a read was taken for an
// outage of the store, after which servers that are not listed are kept for two seconds more.
func TestServersThatLeaveWhileTheirReaderIsLostAreNotKept(t *testing.T) {
	t.Parallel()
	cases := []struct {
		entries, lost int
		// drainTime is the time for which a server serves after it has left.
		drainTime time.Duration
	}{
		{9, 1, 2 * time.Second},
		{9, 5, 2 * time.Second},
		{14, 1, 3 * time.Second},
		{40, 2, 3 * time.Second},
	}
	for _, c := range cases {
		withFleet(t, c.entries, func(t *testing.T, fleet *fleet) {
			fleet.store.setServers("s1 s2")
			time.Sleep(3 * time.Second)
			remaining := fleet.lose(c.lost)
			time.Sleep(50 * time.Millisecond)
			fleet.store.setServers("s1")
			time.Sleep(c.drainTime)
			for _, name := range remaining {
				assert.Len(t, fleet.shared[name].Servers().OfService("s"), 1, "%d of %d entries lost, %s", c.lost, c.entries, name)
			}
		})
	}
}

// Guards against servers that are dropped because their registrations expired during an outage of the store, also where the entries that
// read the store are lost in it.
func TestServersAreKeptForAWhileAfterAnOutage(t *testing.T) {
	t.Parallel()
	for _, lost := range []int{0, 2} {
		withFleet(t, 9, func(t *testing.T, fleet *fleet) {
			fleet.store.unavailable.Store(map[string]bool{"*": true})
			fleet.store.setServers("")
			time.Sleep(2500 * time.Millisecond)
			remaining := fleet.lose(lost)
			for range 10 {
				time.Sleep(150 * time.Millisecond)
				for _, name := range remaining {
					assert.Len(t, fleet.shared[name].Servers().OfService("s"), 1, "%s, %d lost", name, lost)
				}
			}
			time.Sleep(4 * time.Second)
			for _, name := range remaining {
				assert.Empty(t, fleet.shared[name].Servers().OfService("s"), "%s, %d lost: a server that did not register again is gone", name, lost)
			}
		})
	}
}

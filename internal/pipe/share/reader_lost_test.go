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

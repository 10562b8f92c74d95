package share_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// serverList returns an encoded list of count servers, of which those in leaving are leaving.
func serverList(count int, leaving ...int) string {
	var words []string
	for i := range count {
		word := fmt.Sprintf("s%04d", i)
		if slices.Contains(leaving, i) {
			word += "!"
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// Guards against a server that is leaving and still gets work from entries that learn of it round by round. The bound is
// a quarter of the 4 s within which a server's leaving must be in force.
func TestDepartureReachesEveryEntryInAFewMessages(t *testing.T) {
	t.Parallel()
	for _, count := range []int{8, 60, 300} {
		t.Run(fmt.Sprint(count, "_entries"), func(t *testing.T) {
			t.Parallel()
			withFleet(t, count, func(t *testing.T, fleet *fleet) {
				fleet.store.setServers(serverList(100))
				time.Sleep(4 * time.Second)
				for change := range 5 {
					fleet.store.setServers(serverList(100, change))
					time.Sleep(time.Second)
					late := 0
					for _, shared := range fleet.shared {
						if len(shared.Servers().OfService("s")) != 99-change {
							late++
						}
					}
					assert.Zero(t, late, "entries of %d that still use the leaving server a second after change %d", count, change)
				}
			})
		})
	}
}

// Guards against changes of one server that cost each entry the whole list: at 2,000 servers that is 100 KB for each.
func TestChangeOfOneServerIsSentAsADifference(t *testing.T) {
	t.Parallel()
	withFleet(t, 60, func(t *testing.T, fleet *fleet) {
		fleet.store.setServers(serverList(100))
		time.Sleep(4 * time.Second)
		lists, pushes := fleet.traffic.lists.Load(), fleet.traffic.pushes.Load()
		const changes = 10
		for change := range changes {
			fleet.store.setServers(serverList(100, change))
			time.Sleep(time.Second)
		}
		assert.Zero(t, fleet.traffic.lists.Load()-lists, "whole lists in %d changes", changes)
		// Each entry gets a change once, and an aggregator also from the other two aggregators.
		assert.LessOrEqual(t, fleet.traffic.pushes.Load()-pushes, int64(changes*(60+2*3)), "messages in %d changes", changes)
	})
}

// Guards against a fleet whose start, or whose wait for the end of an outage, takes calls to the store in proportion to
// its size: the store counts them, and rejects them beyond its rate.
func TestCallsToTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	calls := map[int][2]int{}
	for _, count := range []int{40, 300} {
		withFleet(t, count, func(t *testing.T, fleet *fleet) {
			atStart := fleet.store.calls.Load()
			fleet.store.unavailable.Store(map[string]bool{"*": true})
			before := fleet.store.calls.Load()
			time.Sleep(10 * time.Second)
			inOutage := fleet.store.calls.Load() - before
			fleet.store.unavailable.Store(map[string]bool{})
			time.Sleep(4 * time.Second)
			late := 0
			for _, shared := range fleet.shared {
				if shared.RoutesAge() > 3*time.Second {
					late++
				}
			}
			assert.Zero(t, late, "entries of %d without a recent copy 4 s after the outage", count)
			calls[count] = [2]int{atStart, inOutage}
		})
	}
	// In an outage an entry makes one call a part at first, and then at 1, 3 and 7 s, and eight entries one each second.
	assert.LessOrEqual(t, calls[300][1], 300*2*4+8*2*10, "calls of 300 entries in an outage of 10 s")
	// Each entry reads the configuration once. Two seeds read both parts, and then one entry, four times in the first 1.5 s
	// and twice a second after that.
	for count, made := range calls {
		assert.LessOrEqual(t, made[0], count+2*2*(4+2*4), "calls of %d entries in their first 5 s", count)
	}
}

// Guards against entries that each read the list of servers, a call for each 50 of them, when an outage of the store ends,
// although the first one that does has passed the list on to all others.
func TestOneEntryReadsTheServersForAllAfterAnOutage(t *testing.T) {
	t.Parallel()
	withFleet(t, 300, func(t *testing.T, fleet *fleet) {
		fleet.store.unavailable.Store(map[string]bool{"*": true})
		time.Sleep(4 * time.Second)
		fleet.store.unavailable.Store(map[string]bool{})
		before := fleet.store.serverReads.Load()
		time.Sleep(5 * time.Second)
		// Eight entries retry each second, and one then reads twice a second.
		assert.LessOrEqual(t, fleet.store.serverReads.Load()-before, 8+2*2*5, "reads of the list in 5 s after the outage")
		unreachable := 0
		for _, member := range fleet.shared["e0"].Fleet().Alive() {
			if member.StoreUnreachable {
				unreachable++
			}
		}
		assert.Zero(t, unreachable, "entries that still report the store as unreachable")
		for name, shared := range fleet.shared {
			assert.Less(t, shared.ServersAge(), 3*time.Second, name)
		}
	})
}

// Guards against an entry that the store rejects and that reads again with each check: its copy was young enough at the time
// of the failure, and that counted as a copy from its peers.
func TestRejectedReaderPausesItsReads(t *testing.T) {
	t.Parallel()
	for _, count := range []int{8, 40} {
		withFleet(t, count, func(t *testing.T, fleet *fleet) {
			fleet.store.unavailable.Store(map[string]bool{"*": true})
			time.Sleep(1300 * time.Millisecond)
			for name, reads := range fleet.store.rejectedServerReads.Load() {
				// An entry pauses for a second after a failure.
				assert.LessOrEqual(t, reads, 2, "rejected reads of the list in 1.3 s by %s of %d", name, count)
			}
		})
	}
}

// Guards against a fleet that calls the store in proportion to its size before the operator has written a configuration.
func TestEntriesAwaitTheFirstConfigurationThroughOneReader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const count = 60
		ctx, cancel := context.WithCancel(t.Context())
		fleet := startFleet(ctx, count)
		fleet.store.version.Store(0)
		time.Sleep(4 * time.Second)
		routesReads := fleet.store.calls.Load() - fleet.store.serverReads.Load()
		// Each entry reads once at its start, and after that eight entries, each at most once a second.
		assert.LessOrEqual(t, routesReads, count+8*5, "reads of the configuration in 4 s")
		fleet.store.version.Store(3)
		time.Sleep(1500 * time.Millisecond)
		for name, shared := range fleet.shared {
			assert.EqualValues(t, 3, shared.Routes().Version(), name)
		}
		cancel()
		fleet.group.Wait()
	})
}

// Guards against entries that find each other a second after their start, because calls to seeds that had no power yet
// hung, and that meanwhile read the store as if each were alone.
func TestEntriesFindLateSeedsSoon(t *testing.T) {
	t.Parallel()
	for _, count := range []int{9, 300} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			fleet := startFleet(ctx, count)
			fleet.partitioned.Store(map[string]bool{"e0": true, "e1": true})
			time.Sleep(400 * time.Millisecond)
			fleet.partitioned.Store(map[string]bool{})
			time.Sleep(500 * time.Millisecond)
			alone := 0
			for _, shared := range fleet.shared {
				if len(shared.Fleet().Alive()) <= 1 {
					alone++
				}
			}
			assert.Zero(t, alone, "entries of %d without contact half a second after the seeds have started", count)
			time.Sleep(time.Second)
			// Each entry reads each part at most once, and then one entry reads for all.
			assert.LessOrEqual(t, fleet.store.calls.Load(), 2*count+2*2*(4+2*2), "calls of %d entries", count)
			cancel()
			fleet.group.Wait()
		})
	}
}

// Guards against an entry that keeps a list of servers that no entry has: a difference must only be applied to the list
// that it belongs to. Here the reader changes all the time, while changes come faster than messages.
func TestEntriesAgreeAfterABurstOfChanges(t *testing.T) {
	t.Parallel()
	withFleet(t, 60, func(t *testing.T, fleet *fleet) {
		for change := range 40 {
			fleet.store.setServers(serverList(30+change%7, change%30, (change*7)%30))
			reader := fleet.aggregators()[change%3]
			fleet.store.unavailable.Store(map[string]bool{reader: true})
			time.Sleep(70 * time.Millisecond)
		}
		fleet.store.unavailable.Store(map[string]bool{})
		time.Sleep(5 * time.Second)
		want := fleet.store.servers.Load()
		for name, shared := range fleet.shared {
			listed := 0
			for range shared.Servers().All() {
				listed++
			}
			assert.Len(t, strings.Fields(want), listed, name)
		}
	})
}

// Guards against a server that stays listed although it is gone: after an outage, the entry that reads the store keeps it for
// servers that register again, under the revision of its read, and while the store does not change, a later list without it
// has the same revision.
func TestServerThatIsKeptAfterAnOutageGoesAtTheSameRevision(t *testing.T) {
	t.Parallel()
	for _, count := range []int{8, 60} {
		t.Run(fmt.Sprint(count, "_entries"), func(t *testing.T) {
			t.Parallel()
			withFleet(t, count, func(t *testing.T, fleet *fleet) {
				fleet.store.setServers(serverList(30))
				time.Sleep(2 * time.Second)
				fleet.store.unavailable.Store(map[string]bool{"*": true})
				time.Sleep(3 * time.Second)
				fleet.store.setServers(serverList(29))
				fleet.store.unavailable.Store(map[string]bool{})
				time.Sleep(5 * time.Second)
				late := 0
				for _, shared := range fleet.shared {
					if len(shared.Servers().All()) != 29 {
						late++
					}
				}
				assert.Zero(t, late, "entries that list the server 5 s after the outage")
			})
		})
	}
}

// Guards against a server that told one entry in an answer that it is leaving, and still gets work from the others: the store
// does not say it. The bound is half of the 4 s within which a server's leaving must be in force.
func TestDepartureThatOneEntryLearnsReachesAll(t *testing.T) {
	t.Parallel()
	for _, count := range []int{8, 60, 300} {
		t.Run(fmt.Sprint(count, "_entries"), func(t *testing.T) {
			t.Parallel()
			withFleet(t, count, func(t *testing.T, fleet *fleet) {
				fleet.store.setServers(serverList(100))
				time.Sleep(4 * time.Second)
				fleet.shared["e7"].MarkLeaving("s0042", 0)
				time.Sleep(2 * time.Second)
				late := 0
				for _, shared := range fleet.shared {
					if len(shared.Servers().OfService("s")) != 99 {
						late++
					}
				}
				assert.Zero(t, late, "entries of %d that still use the server after 2 s", count)
			})
		})
	}
}

package directory_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

func ready(id string) directory.Server {
	return directory.Server{ID: id, Service: "s", State: directory.StateReady, StartedMs: 1}
}

func leaving(id string) directory.Server {
	server := ready(id)
	server.State = directory.StateLeaving
	return server
}

func listing(revision int64, at time.Duration, servers ...directory.Server) directory.Snapshot[[]directory.Server] {
	return directory.Snapshot[[]directory.Server]{Revision: revision, CurrentAt: at, Value: servers}
}

func ids(servers directory.Servers) []string {
	found := []string{}
	for _, server := range servers.OfService("s") {
		found = append(found, server.ID)
	}
	return found
}

// Guards against a configuration that returns to an earlier revision, and against an age that a delayed message
// makes too small.
func TestMergeKeepsTheHigherRevisionAndTheLaterTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) directory.Snapshot[int64] {
			revision := rapid.Int64Range(0, 5).Draw(t, "revision")
			return directory.Snapshot[int64]{Revision: revision, Value: revision, CurrentAt: time.Duration(rapid.IntRange(0, 5).Draw(t, "at"))}
		})
		a, b := draw.Draw(t, "one"), draw.Draw(t, "two")
		merged := a.Merge(b)
		assert.Equal(t, max(a.Revision, b.Revision), merged.Revision)
		assert.Equal(t, merged.Revision, merged.Value)
		if a.Revision > 0 && b.Revision > 0 {
			assert.Equal(t, max(a.CurrentAt, b.CurrentAt), merged.CurrentAt)
		}
		assert.Equal(t, merged, merged.Merge(b))
	})
}

// Guards against a configuration that goes back to a lower version when the store is restored from a backup, in whatever order
// the copies arrive.
func TestMergeKeepsTheHigherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) directory.Snapshot[int64] {
			version, era := rapid.Int64Range(0, 3).Draw(t, "version"), rapid.Int64Range(0, 2).Draw(t, "era")
			return directory.Snapshot[int64]{
				Revision: directory.Qualified(era, rapid.Int64Range(1, 5).Draw(t, "revision")), Version: version, Value: version, CurrentAt: time.Duration(rapid.IntRange(0, 5).Draw(t, "at")),
			}
		})
		a, b := draw.Draw(t, "one"), draw.Draw(t, "two")
		merged := a.Merge(b)
		assert.Equal(t, max(a.Version, b.Version), merged.Value)
		assert.Equal(t, max(a.Revision, b.Revision), merged.Revision)
		assert.Equal(t, max(a.CurrentAt, b.CurrentAt), merged.CurrentAt)
		assert.Equal(t, merged, b.Merge(a))
	})
}

// Guards against servers that are lost since they have not registered again in a restored store, against one that is taken back to an
// earlier incarnation or out of its departure, and against a list without the kept servers that does not replace the one with them.
func TestServersAreKeptForAWhileAfterARestore(t *testing.T) {
	restarted := ready("c")
	restarted.StartedMs = 2
	first := listing(900, 10*time.Second, ready("a"), ready("b"), restarted, leaving("d"))
	servers := directory.Servers{}.WithSnapshot(first)
	read := func(previous, read directory.Snapshot[[]directory.Server]) directory.Snapshot[[]directory.Server] {
		value := directory.WithRestore(previous, read, servers.RestoreListedAt())
		if !slices.Equal(value, read.Value) {
			read.Revision, read.Value = read.Revision-1, value
		}
		servers = servers.WithSnapshot(read)
		return read
	}
	era := directory.Qualified(1, 0)
	last := read(first, listing(era+1, 11*time.Second, ready("a"), ready("c"), ready("d")))
	assert.Equal(t, []string{"a", "b", "c"}, ids(servers))
	assert.EqualValues(t, 2, servers.All()["c"].StartedMs)
	last = read(last, listing(era+7, 15*time.Second, ready("a"), ready("c"), ready("d")))
	assert.Equal(t, []string{"a", "b", "c"}, ids(servers))
	read(last, listing(era+7, 16100*time.Millisecond, ready("a"), ready("d")))
	assert.Equal(t, []string{"a"}, ids(servers), "b and c did not register again, and d is leaving still")
	assert.Equal(t, era+7, servers.Revision())
}

// Guards against a server that left, whose departure was known for long, and that a restored store lists as ready again.
func TestDepartureIsRememberedFromWhenTheServerWasListedLast(t *testing.T) {
	servers := directory.Servers{}.WithSnapshot(listing(1, time.Second, ready("a"), ready("b"))).WithLeaving("a", 1, time.Second)
	servers = servers.WithSnapshot(listing(2, 100*time.Second, ready("b")))
	servers = servers.WithSnapshot(listing(3, 105*time.Second, ready("b"), ready("c")))
	restored := servers.WithSnapshot(listing(directory.Qualified(1, 1), 110*time.Second, ready("a"), ready("b")))
	assert.Equal(t, []string{"b"}, ids(restored))
	later := servers.WithSnapshot(listing(4, 161*time.Second, ready("b"))).WithSnapshot(listing(5, 162*time.Second, ready("a"), ready("b")))
	assert.Equal(t, []string{"a", "b"}, ids(later), "a departure of long ago is forgotten")
}

// Guards against new work for a server that reported that it is leaving, and against no work for the next
// incarnation of that server.
func TestLeavingIsForTheRestOfAnIncarnation(t *testing.T) {
	servers := directory.Servers{}.WithSnapshot(listing(1, time.Second, ready("a"), ready("b")))
	assert.Equal(t, []string{"a", "b"}, ids(servers))
	servers = servers.WithSnapshot(listing(2, 2*time.Second, leaving("a"), ready("b")))
	assert.Equal(t, []string{"b"}, ids(servers))
	servers = servers.WithSnapshot(listing(3, 3*time.Second, ready("a"), ready("b")))
	assert.Equal(t, []string{"b"}, ids(servers), "an outdated state of the same incarnation does not revoke its departure")
	restarted := ready("a")
	restarted.StartedMs = 2
	servers = servers.WithSnapshot(listing(4, 4*time.Second, restarted, ready("b")))
	assert.Equal(t, []string{"a", "b"}, ids(servers), "a new incarnation under the same id takes work")
	servers = servers.WithLeaving("b", 1, 4*time.Second)
	assert.Equal(t, []string{"a"}, ids(servers), "a server that gave notice itself gets no work")
	assert.Equal(t, []string{"a"}, ids(servers.WithSnapshot(listing(3, 5*time.Second, ready("b")))), "an older listing changes nothing")
}

// Guards against servers that are dropped because their registrations expired during an outage of the store.
func TestMissingServersAreKeptForAWhileAfterAnOutage(t *testing.T) {
	read := func(retention directory.Retention, servers directory.Servers, previous, read directory.Snapshot[[]directory.Server]) (directory.Retention, directory.Servers, directory.Snapshot[[]directory.Server]) {
		retention, read.Value = retention.WithRead(previous, read, directory.PeerFailures{})
		return retention, servers.WithSnapshot(read), read
	}
	first := listing(1, 10*time.Second, ready("a"), ready("b"))
	servers := directory.Servers{}.WithSnapshot(first)
	_, withoutOutage, _ := read(directory.Retention{}, servers, first, listing(2, 10500*time.Millisecond, ready("a")))
	assert.Equal(t, []string{"a"}, ids(withoutOutage), "no outage: a missing server is gone")
	failed := directory.Retention{}.WithFailedRead(first, 19*time.Second)
	retention, afterOutage, last := read(failed, servers, first, listing(2, 20*time.Second, ready("a")))
	assert.Equal(t, []string{"a", "b"}, ids(afterOutage), "right after the outage, a missing server is kept")
	retention, afterOutage, last = read(retention, afterOutage, last, listing(3, 21*time.Second, ready("a")))
	assert.Equal(t, []string{"a", "b"}, ids(afterOutage), "a second after the outage, a missing server is still kept")
	_, afterOutage, _ = read(retention, afterOutage, last, listing(4, 22100*time.Millisecond, ready("a")))
	assert.Equal(t, []string{"a"}, ids(afterOutage), "a server that did not register again is gone")
}

// Guards against servers that are dropped right after an outage since another entry has read the list before: the reader then finds a list
// that is not old.
func TestMissingServersAreKeptByEachReaderAfterAnOutage(t *testing.T) {
	beforeOutage, shared := listing(1, 10*time.Second, ready("a"), ready("b")), listing(2, 14900*time.Millisecond, ready("a"), ready("b"))
	second := directory.Retention{}.WithFailedRead(beforeOutage, 14500*time.Millisecond)
	_, listed := second.WithRead(shared, listing(3, 15*time.Second, ready("a")), directory.PeerFailures{})
	assert.Len(t, listed, 2)
	rejected := directory.Retention{}.WithFailedRead(shared, 15*time.Second)
	_, listed = rejected.WithRead(shared, listing(3, 15200*time.Millisecond, ready("a")), directory.PeerFailures{})
	assert.Len(t, listed, 1, "a call that failed while others read the list is no outage")
}

// Guards against servers that left and are kept since no entry has read the store for a while, which is no outage as long as no read
// fails.
func TestTimeWithoutReadsIsNoOutage(t *testing.T) {
	first, later := listing(1, 10*time.Second, ready("a"), ready("b")), listing(2, 12*time.Second, ready("a"))
	read := func(retention directory.Retention, peers directory.PeerFailures) int {
		_, listed := retention.WithRead(first, later, peers)
		return len(listed)
	}
	none := directory.PeerFailures{}
	assert.Equal(t, 1, read(directory.Retention{}, none), "the entry that read was lost")
	assert.Equal(t, 2, read(directory.Retention{}, none.WithFailing([]string{"e2"}, 1, 11*time.Second)), "another entry cannot reach the store")
	assert.Equal(t, 2, read(directory.Retention{}.WithFailedRead(first, 11*time.Second), none), "a read of this entry failed")
	assert.Equal(t, 1, read(directory.Retention{}.WithFailedRead(listing(1, 0), 2*time.Second), none), "a read failed long ago")
}

// Guards against servers that left and are kept since the entries which read the store were lost while it turned others away: a few entries
// that cannot reach the store, or could not before the gap, show no outage.
func TestEntriesThatTheStoreTurnsAwayShowNoOutage(t *testing.T) {
	first, later := listing(1, 10*time.Second, ready("a"), ready("b")), listing(2, 12*time.Second, ready("a"))
	none := directory.PeerFailures{}
	turnedAway := none.WithFailing([]string{"e2", "e3"}, 4, 9*time.Second).WithFailing([]string{"e2", "e3"}, 4, 11*time.Second)
	for name, test := range map[string]struct {
		peers  directory.PeerFailures
		listed int
	}{
		"one of four since the last read":        {none.WithFailing([]string{"e2"}, 4, 11*time.Second), 1},
		"two of four since the last read":        {none.WithFailing([]string{"e2", "e3"}, 4, 11*time.Second), 2},
		"two of four before the last read":       {turnedAway, 1},
		"and another one since":                  {turnedAway.WithFailing([]string{"e2", "e3", "e4"}, 4, 11500*time.Millisecond), 1},
		"and the other two since":                {turnedAway.WithFailing([]string{"e2", "e3", "e4", "e5"}, 4, 11500*time.Millisecond), 2},
		"they reached the store in between":      {turnedAway.WithFailing(nil, 4, 10500*time.Millisecond).WithFailing([]string{"e2", "e3"}, 4, 11*time.Second), 2},
		"all reach the store again by this read": {turnedAway.WithFailing(nil, 4, 11900*time.Millisecond), 1},
	} {
		_, listed := directory.Retention{}.WithRead(first, later, test.peers)
		assert.Len(t, listed, test.listed, name)
	}
}

// Guards against a server that is gone and still gets work at an entry that received the list late: there, the time
// since the last message must not count as an outage of the store.
func TestListThatArrivesLateRemovesServersAtOnce(t *testing.T) {
	servers := directory.Servers{}.WithSnapshot(listing(1, 10*time.Second, ready("a"), ready("b")))
	assert.Equal(t, []string{"a"}, ids(servers.WithSnapshot(listing(2, 13*time.Second, ready("a")))))
}

// Guards against a receiver of changes whose list of servers differs from the sender's.
func TestDeltaYieldsTheSendersList(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) []directory.Server {
		var servers []directory.Server
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			switch rapid.IntRange(0, 2).Draw(t, id) {
			case 1:
				servers = append(servers, ready(id))
			case 2:
				servers = append(servers, leaving(id))
			}
		}
		return servers
	})
	rapid.Check(t, func(t *rapid.T) {
		from, to := draw.Draw(t, "from"), draw.Draw(t, "to")
		delta := directory.NewDelta(from, to)
		assert.Equal(t, to, delta.Applied(from))
		assert.Zero(t, directory.NewDelta(to, to).Size())
		for _, server := range directory.WithRetained(to, from) {
			assert.True(t, containsID(to, server.ID) || containsID(from, server.ID))
		}
		assert.Zero(t, len(directory.NewDelta(directory.WithRetained(to, from), to).Changed), "the newer state of a listed server wins")
	})
}

func containsID(servers []directory.Server, id string) bool {
	return slices.ContainsFunc(servers, func(server directory.Server) bool { return server.ID == id })
}

// Guards against a list of departures that grows for as long as the entry runs, whether they were listed or not.
func TestDeparturesAreForgottenAMinuteAfterTheServer(t *testing.T) {
	servers := directory.Servers{}.WithSnapshot(listing(1, time.Second, ready("a"), ready("b"), leaving("d"))).WithLeaving("a", 1, time.Second)
	assert.Equal(t, map[string]int64{"a": 1}, servers.UnlistedDepartures(time.Second))
	assert.Empty(t, servers.UnlistedDepartures(2*time.Second))
	servers = servers.WithSnapshot(listing(2, time.Minute, ready("a"), ready("b"), ready("c"), ready("d")))
	servers = servers.WithSnapshot(listing(3, 2*time.Minute, ready("a"), ready("b"), ready("d")))
	assert.Contains(t, servers.UnlistedDepartures(0), "a", "the departure of a listed server is kept")
	assert.Equal(t, []string{"b"}, ids(servers), "an outdated state revokes no departure")
	servers = servers.WithSnapshot(listing(4, 3*time.Minute, ready("b")))
	servers = servers.WithSnapshot(listing(5, 5*time.Minute, ready("b"), ready("c")))
	assert.Empty(t, servers.UnlistedDepartures(0))
	servers = servers.WithSnapshot(listing(6, 6*time.Minute, ready("a"), ready("b"), ready("d")))
	assert.Equal(t, []string{"a", "b", "d"}, ids(servers), "both departures are forgotten")
}

// Guards against messages between entries with thousands of departures, each of them in every message for ten seconds, while a
// fleet replaces its servers: peers learn them from the changes of the list.
func TestListedDeparturesAreNotReported(t *testing.T) {
	var before, after []directory.Server
	for i := range 3000 {
		before = append(before, ready(fmt.Sprintf("i-%04d", i)))
		after = append(after, leaving(fmt.Sprintf("i-%04d", i)))
	}
	servers := directory.Servers{}.WithSnapshot(listing(1, time.Second, before...)).WithSnapshot(listing(2, 2*time.Second, after...))
	assert.Empty(t, ids(servers))
	assert.Empty(t, servers.UnlistedDepartures(0))
	servers = servers.WithSnapshot(listing(3, 3*time.Second, ready("other")))
	assert.Empty(t, servers.UnlistedDepartures(0), "also once they are no longer listed")
	servers = servers.WithLeaving("other", 1, 4*time.Second)
	assert.Equal(t, map[string]int64{"other": 1}, servers.UnlistedDepartures(0), "a departure that only this entry has noticed")
}

// BenchmarkDelta measures the difference between two lists of thousands of servers, of which few have changed, and its use.
func BenchmarkDelta(b *testing.B) {
	var from, to []directory.Server
	for i := range 3000 {
		server := directory.Server{ID: fmt.Sprintf("i-%08x", i), Service: "s", Address: "10.0.0.1:80", Domain: "a", State: directory.StateReady, Slots: 16}
		from = append(from, server)
		if i%300 == 0 {
			server.State = directory.StateLeaving
		}
		to = append(to, server)
	}
	for b.Loop() {
		if len(directory.NewDelta(from, to).Applied(from)) != len(to) {
			b.Fatal("servers are missing")
		}
	}
}

// Guards against an incarnation that gets work again after it was found to be leaving, because a late answer, a peer or an old
// list told of another incarnation of the same server in between.
func TestLeavingIncarnationsAreNeverChosenAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type incarnation struct {
			id        string
			startedMs int64
		}
		left, servers, now := map[incarnation]bool{}, directory.Servers{}, time.Duration(0)
		drawIncarnation := func() incarnation {
			return incarnation{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), rapid.Int64Range(0, 3).Draw(t, "started")}
		}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "elapsed_ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "answer") {
				leaver := drawIncarnation()
				left[leaver] = true
				servers = servers.WithLeaving(leaver.id, leaver.startedMs, now)
			} else {
				listed := map[string]directory.Server{}
				for range rapid.IntRange(0, 2).Draw(t, "listed") {
					drawn := drawIncarnation()
					server := ready(drawn.id)
					server.StartedMs = drawn.startedMs
					if rapid.Bool().Draw(t, "leaving") {
						server.State = directory.StateLeaving
					}
					listed[server.ID] = server
				}
				revision := rapid.Int64Range(servers.Revision()-1, servers.Revision()+1).Draw(t, "revision")
				servers = servers.WithSnapshot(listing(revision, now, slices.Collect(maps.Values(listed))...))
				for id, server := range servers.All() {
					if server.State == directory.StateLeaving {
						left[incarnation{id, server.StartedMs}] = true
					}
				}
			}
			for _, server := range servers.OfService("s") {
				if left[incarnation{server.ID, server.StartedMs}] {
					t.Fatalf("incarnation %d of %s is chosen after it left", server.StartedMs, server.ID)
				}
			}
		}
	})
}

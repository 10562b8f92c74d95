package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

var start = time.Unix(1_800_000_000, 0)

// state returns the state of an entry that has just started; a later run of the same entry has a higher number.
func state(name string, run int64) membership.State {
	return membership.NewState(membership.Origin{Name: name, Incarnation: membership.Incarnation{Start: run}}, membership.Profile{Domain: "d"})
}

// exchange runs one full exchange and returns both states after it.
func exchange(a, b membership.State, now time.Time) (membership.State, membership.State) {
	b, reply := b.WithOffer(a.Offer(), now)
	a, requested := a.WithReply(reply, now)
	b, _ = b.WithOffer(requested, now)
	return a, b
}

// Guards against items that are lost, or that entries hold in different versions, when items sent ahead
// overtake exchanges.
func TestStatesConverge(t *testing.T) {
	const entries = 4
	kinds := []membership.Kind{membership.KindLoad, membership.KindSuspectRequest, membership.KindLeavingServer}
	rapid.Check(t, func(t *rapid.T) {
		states := make([]membership.State, entries)
		for i := range states {
			states[i] = state(fmt.Sprint(i), 1)
		}
		index := rapid.IntRange(0, entries-1)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			from, to := index.Draw(t, "from"), index.Draw(t, "to")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				key := fmt.Sprint(index.Draw(t, "key"))
				states[from] = states[from].WithPublished(membership.Item{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Key: key, Expires: start.Unix() + 60})
			case 1:
				urgent, _ := states[from].UrgentOffer()
				states[to], _ = states[to].WithOffer(urgent, start)
				states[from] = states[from].WithRound()
			case 2:
				states[from], states[to] = exchange(states[from], states[to], start)
			case 3:
				states[from] = states[from].WithUnreachable(fmt.Sprint(to), start)
			}
		}
		for range 2 {
			for i := range states[1:] {
				states[0], states[i+1] = exchange(states[0], states[i+1], start)
			}
		}
		for _, state := range states[1:] {
			assert.ElementsMatch(t, states[0].Table().Digest(), state.Table().Digest())
			assert.Equal(t, states[0].View(), state.View())
			for _, kind := range kinds {
				assert.ElementsMatch(t, states[0].Table().Items(kind, start), state.Table().Items(kind, start))
			}
		}
	})
}

// Guards against an entry that counts as gone after a partition and is never accepted again, or is accepted
// because of a record from before the partition.
func TestGoneEntryReturnsOnlyByItsOwnHeartbeat(t *testing.T) {
	a, b, c := state("a", 1), state("b", 1), state("c", 1)
	a, b = exchange(a, b, start)
	a, c = exchange(a, c, start)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		a = a.WithPublished(membership.Item{Kind: membership.KindLoad, Expires: now.Unix() + 60}).WithTick(now)
		c = c.WithPublished(membership.Item{Kind: membership.KindLoad, Expires: now.Unix() + 60}).WithTick(now)
		a, c = exchange(a, c, now)
	}
	status := func(state membership.State) membership.Status {
		member, _ := state.View().Member("b")
		return member.Status()
	}
	assert.Equal(t, membership.StatusGone, status(a))
	// The other side of the partition still holds b's items from before it.
	stale := state("d", 1)
	b, stale = exchange(b, stale, start)
	a, _ = exchange(a, stale, now)
	assert.Equal(t, membership.StatusGone, status(a), "an old record")
	a, b = exchange(a, b, now)
	assert.Equal(t, membership.StatusGone, status(a), "contact without a newer heartbeat")
	b = b.WithPublished(membership.Item{Kind: membership.KindLoad, Expires: now.Unix() + 60})
	a, b = exchange(a, b, now)
	assert.Equal(t, membership.StatusAlive, status(a), "its own newer heartbeat")
	assert.Equal(t, membership.StatusAlive, status(b))
}

// Guards against the loss of suspected requests together with the entry that reported them.
func TestSuspectOutlivesItsReporter(t *testing.T) {
	a, b := state("a", 1), state("b", 1)
	b = b.WithPublished(membership.Item{Kind: membership.KindSuspectRequest, Key: "f", Expires: start.Unix() + 600})
	a, _ = exchange(a, b, start)
	a, _ = exchange(a, state("b", 2), start)
	for second := range 600 {
		a = a.WithTick(start.Add(time.Duration(second) * time.Second))
	}
	assert.Len(t, a.Table().Items(membership.KindSuspectRequest, start.Add(599*time.Second)), 1)
	a = a.WithTick(start.Add(600 * time.Second))
	assert.Empty(t, a.Table().Items(membership.KindSuspectRequest, start))
}

// Guards against every entry publishing the same leaving server again, and against a replacement that is
// taken for the leaving server.
func TestLeavingServersArePublishedOncePerIncarnation(t *testing.T) {
	a, b := state("a", 1), state("b", 1)
	a = a.WithServersLeaving([]membership.Server{{Name: "r", Incarnation: 5}, {Name: "s", Incarnation: 1}}, start)
	a, b = exchange(a, b, start)
	b = b.WithServersLeaving([]membership.Server{{Name: "r", Incarnation: 5}, {Name: "r", Incarnation: 4}}, start)
	assert.Len(t, b.Table().Items(membership.KindLeavingServer, start), 2)
	b = b.WithServersLeaving([]membership.Server{{Name: "r", Incarnation: 6}}, start)
	a, _ = exchange(a, b, start)
	assert.Equal(t, map[string]int64{"r": 6, "s": 1}, a.Table().LeavingServers(start))
}

// Guards against an entry that marks all others as gone after it was paused itself.
func TestOwnPauseIsNotSilenceOfOthers(t *testing.T) {
	a, b := state("a", 1), state("b", 1)
	a, _ = exchange(a, b, start)
	a = a.WithTick(start).WithTick(start.Add(10 * time.Minute))
	member, _ := a.View().Member("b")
	assert.Equal(t, membership.StatusAlive, member.Status())
}

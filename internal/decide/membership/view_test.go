package membership_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

var conditions = []membership.Condition{membership.ConditionAlive, membership.ConditionSuspect, membership.ConditionGone}

// members generates records from few values, so that records of the same entry and version are often merged.
var members = rapid.Custom(func(t *rapid.T) membership.Member {
	return membership.Member{
		Origin: membership.Origin{
			Name:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
			Incarnation: membership.Incarnation{Start: rapid.Int64Range(0, 2).Draw(t, "start"), Random: rapid.Uint32Range(0, 1).Draw(t, "random")},
		},
		Profile:   membership.Profile{Address: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "address")},
		Version:   rapid.Uint64Range(0, 3).Draw(t, "version"),
		Leaving:   rapid.Bool().Draw(t, "leaving"),
		Condition: rapid.SampledFrom(conditions).Draw(t, "condition"),
	}
})

// views draws a view of up to six records.
func views(t *rapid.T, label string) membership.View {
	return membership.View{}.WithMembers(rapid.SliceOfN(members, 0, 6).Draw(t, label)...)
}

// Guards against entries that disagree permanently because records reached them in different orders.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := views(t, "a"), views(t, "b"), views(t, "c")
		assert.Equal(t, a.Merge(b), b.Merge(a), "commutative")
		assert.Equal(t, a.Merge(b).Merge(c), a.Merge(b.Merge(c)), "associative")
		assert.Equal(t, a, a.Merge(a), "idempotent")
	})
}

func member(start int64, version uint64, leaving bool, condition membership.Condition) membership.Member {
	return membership.Member{Origin: membership.Origin{Name: "a", Incarnation: membership.Incarnation{Start: start}}, Version: version, Leaving: leaving, Condition: condition}
}

// Guards against outdated records that replace newer ones, and against a condition that no heartbeat can clear.
func TestMergeKeepsTheNewerRecord(t *testing.T) {
	cases := []struct {
		name     string
		current  membership.Member
		incoming membership.Member
		want     membership.Status
	}{
		{"a paused VM corrects itself", member(1, 4, false, membership.ConditionGone), member(1, 5, false, membership.ConditionAlive), membership.StatusAlive},
		{"an old heartbeat does not clear a suspicion", member(1, 4, false, membership.ConditionSuspect), member(1, 4, false, membership.ConditionAlive), membership.StatusSuspect},
		{"a heartbeat does not revoke leaving", member(1, 4, true, membership.ConditionAlive), member(1, 9, false, membership.ConditionAlive), membership.StatusLeaving},
		{"a restarted entry replaces its earlier run", member(1, 9, true, membership.ConditionGone), member(2, 1, false, membership.ConditionAlive), membership.StatusAlive},
		{"an earlier run does not replace a later one", member(2, 1, false, membership.ConditionAlive), member(1, 9, true, membership.ConditionGone), membership.StatusAlive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, c.current.Merge(c.incoming).Status())
			assert.Equal(t, c.want, c.incoming.Merge(c.current).Status())
		})
	}
}

// Guards against a lagging VM list that overrides what the entry itself published.
func TestListingsAddButNeverRevive(t *testing.T) {
	cases := []struct {
		name     string
		recorded []membership.Member
		since    int64
		want     membership.Status
	}{
		{"unknown VM is added", nil, 0, membership.StatusAlive},
		{"unknown leaving VM", nil, 5, membership.StatusLeaving},
		{"leaving stays", []membership.Member{member(1, 1, true, membership.ConditionAlive)}, 0, membership.StatusLeaving},
		{"gone stays", []membership.Member{member(1, 1, false, membership.ConditionGone)}, 0, membership.StatusGone},
		{"notice concerns the running incarnation", []membership.Member{member(4, 1, false, membership.ConditionAlive)}, 5, membership.StatusLeaving},
		{"notice concerns an earlier incarnation", []membership.Member{member(6, 1, false, membership.ConditionAlive)}, 5, membership.StatusAlive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			view := membership.View{}.WithMembers(c.recorded...).WithListings([]membership.Listing{{Name: "a", LeavingSince: c.since}})
			got, _ := view.Member("a")
			assert.Equal(t, c.want, got.Status())
		})
	}
}

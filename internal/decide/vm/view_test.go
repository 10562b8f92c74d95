package vm_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/vm"
)

var conditions = []vm.Condition{vm.ConditionAlive, vm.ConditionSuspect, vm.ConditionGone}

// members draws from few values, so that records of the same entry and version are often merged.
var members = rapid.Custom(func(t *rapid.T) vm.Member {
	return vm.Member{
		Origin: vm.Origin{
			Name:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
			Incarnation: vm.Incarnation{Start: rapid.Int64Range(0, 2).Draw(t, "start"), Random: rapid.Uint32Range(0, 1).Draw(t, "random")},
		},
		Profile:   vm.Profile{Address: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "address")},
		Version:   rapid.Uint64Range(0, 3).Draw(t, "version"),
		Leaving:   rapid.Bool().Draw(t, "leaving"),
		Condition: rapid.SampledFrom(conditions).Draw(t, "condition"),
	}
})

func views(t *rapid.T, label string) vm.View {
	return vm.View{}.WithMembers(rapid.SliceOfN(members, 0, 6).Draw(t, label)...)
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

func member(start int64, version uint64, leaving bool, condition vm.Condition) vm.Member {
	return vm.Member{Origin: vm.Origin{Name: "a", Incarnation: vm.Incarnation{Start: start}}, Version: version, Leaving: leaving, Condition: condition}
}

// Guards against outdated records that replace newer ones, and against a condition that no heartbeat can clear.
func TestMergeKeepsTheNewerRecord(t *testing.T) {
	cases := []struct {
		name     string
		current  vm.Member
		incoming vm.Member
		want     vm.Status
	}{
		{"a paused VM corrects itself", member(1, 4, false, vm.ConditionGone), member(1, 5, false, vm.ConditionAlive), vm.StatusAlive},
		{"an old heartbeat does not clear a suspicion", member(1, 4, false, vm.ConditionSuspect), member(1, 4, false, vm.ConditionAlive), vm.StatusSuspect},
		{"a heartbeat does not revoke leaving", member(1, 4, true, vm.ConditionAlive), member(1, 9, false, vm.ConditionAlive), vm.StatusLeaving},
		{"a restarted entry replaces its earlier run", member(1, 9, true, vm.ConditionGone), member(2, 1, false, vm.ConditionAlive), vm.StatusAlive},
		{"an earlier run does not replace a later one", member(2, 1, false, vm.ConditionAlive), member(1, 9, true, vm.ConditionGone), vm.StatusAlive},
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
		recorded []vm.Member
		since    int64
		want     vm.Status
	}{
		{"unknown VM is added", nil, 0, vm.StatusAlive},
		{"unknown leaving VM", nil, 5, vm.StatusLeaving},
		{"leaving stays", []vm.Member{member(1, 1, true, vm.ConditionAlive)}, 0, vm.StatusLeaving},
		{"gone stays", []vm.Member{member(1, 1, false, vm.ConditionGone)}, 0, vm.StatusGone},
		{"notice concerns the running incarnation", []vm.Member{member(4, 1, false, vm.ConditionAlive)}, 5, vm.StatusLeaving},
		{"notice concerns an earlier incarnation", []vm.Member{member(6, 1, false, vm.ConditionAlive)}, 5, vm.StatusAlive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			view := vm.View{}.WithMembers(c.recorded...).WithListings([]vm.Listing{{Name: "a", LeavingSince: c.since}})
			got, _ := view.Member("a")
			assert.Equal(t, c.want, got.Status())
		})
	}
}

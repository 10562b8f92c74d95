package node

import (
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/vm"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// silentTime is the time after which an entry that was not heard of uses no limits any more.
//
// It is longer than the time for which an entry that is cut off may run calls.
const silentTime = 6 * time.Second

// repeatShare is the part of the slack for repeats that the entries use together;
// a spent floor grows back within a window.
const repeatShare = 0.4

// Report brings the entry's own record up to date.
func (node *Node) Report(record neighbour.Record) neighbour.Record {
	record.Admitted = node.limits.Admitted()
	record.Demand = node.demand.PerSecond()
	record.Running = node.tracks.Running()
	record.Leaving = node.knowledge.Servers().Left()
	record.Usage = node.usage.counts.Load()
	record.Suspects = node.suspects.Load().Reports()
	record.Holds = node.keeper != nil && node.keeper.Holds()
	return record
}

// learned takes what the other entries state into the decisions of this one.
func (node *Node) learned() {
	neighbours, now := node.knowledge.Neighbours(), time.Now()
	self := neighbours.Self()
	heard := neighbours.Within(node.bootNow(), silentTime)
	node.limits.Take(heard, self.ID(), node.knowledge.Routes().Accounts())
	alive := neighbours.Alive(node.bootNow())
	node.tracks.Take(alive, self.Name, node.knowledge.Servers().All())
	node.forget()
	node.budgets.SetFloor(repeatShare * node.settings.Load().RepeatSlack / float64(len(alive)))
	for _, record := range heard {
		if record.ID() != self.ID() && len(record.Suspects) > 0 {
			node.suspects.Update(func(register suspect.Register) suspect.Register {
				return register.WithReports(record.Suspects).WithExpired(now)
			})
		}
	}
	if node.knowledge.Routes().Loaded() {
		if err := node.life.Loaded(); err != nil {
			node.logger.Error().Err(err).Msg("becoming ready failed")
		}
	}
}

// forget closes the idle connections to servers that are gone; others may have their addresses soon.
func (node *Node) forget() {
	known := map[string]bool{}
	for _, server := range node.knowledge.Servers().All() {
		known[backend.Key(server)] = true
	}
	node.client.Forget(func(key string) bool { return known[key] })
}

// View returns the membership for the choice of the duty's holder.
func (node *Node) View() vm.View {
	var members []vm.Member
	for _, record := range node.knowledge.Neighbours().Alive(node.bootNow()) {
		members = append(members, vm.Member{
			Origin:    vm.Origin{Name: record.Name, Incarnation: vm.Incarnation{Start: record.Incarnation}},
			Leaving:   record.Stopping,
			Condition: vm.ConditionAlive,
		})
	}
	return vm.View{}.WithMembers(members...)
}

// Claimed reports that another live entry says that it holds the duty.
func (node *Node) Claimed() bool {
	neighbours := node.knowledge.Neighbours()
	self := neighbours.Self()
	return slices.ContainsFunc(neighbours.Alive(node.bootNow()), func(record neighbour.Record) bool {
		return record.Holds && record.Name != self.Name
	})
}

// meter counts the calls that began, by window and client account.
type meter struct {
	wall interface{ Wall() time.Time }
	// length is the length of a window.
	length time.Duration
	counts *rcu.Cell[usage.Counts]
}

func newMeter(wall interface{ Wall() time.Time }, length time.Duration) *meter {
	return &meter{wall: wall, length: length, counts: rcu.New(usage.Counts{})}
}

// Begun counts a call of a client account.
func (meter *meter) Begun(account string) {
	if account == "" || meter.length <= 0 {
		return
	}
	window := usage.WindowAt(meter.wall.Wall(), meter.length)
	meter.counts.Update(func(counts usage.Counts) usage.Counts { return counts.With(window, account) })
}

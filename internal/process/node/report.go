package node

import (
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/vm"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// repeatShare is the part of the slack for repeats that the entries use together;
// a spent floor grows back within a window.
const repeatShare = 0.4

// toldSuspects is how many crashes an entry tells others of at a time.
const toldSuspects = 32

// leavingTime is how long an entry tells others of a server that leaves.
const leavingTime = 10 * time.Second

// Report brings the entry's own record up to date.
func (node *Node) Report(record neighbour.Record) neighbour.Record {
	record.Admitted = node.limits.Admitted()
	record.Demand = node.demand.PerSecond()
	record.Running = node.tracks.Running()
	record.Leaving = node.knowledge.Servers().LeftSince(node.bootNow() - leavingTime)
	record.Suspects = node.suspects.Load().Worst(toldSuspects, time.Now(), forward.CrashWindow)
	record.Holds = node.keeper != nil && node.keeper.Holds()
	return record
}

// Usage returns what the entry counted.
func (node *Node) Usage() usage.Counts { return node.usage.counts.Load() }

// Heard takes the suspects of another entry.
func (node *Node) Heard(record neighbour.Record) {
	if len(record.Suspects) == 0 {
		return
	}
	now := time.Now()
	node.suspects.Update(func(register suspect.Register) suspect.Register {
		return register.WithReports(record.Suspects).Within(now, forward.CrashWindow)
	})
}

// Learned takes what the other entries state into the decisions of this one.
func (node *Node) Learned() {
	neighbours, now := node.knowledge.Neighbours(), node.bootNow()
	others := neighbours.Others(now)
	entries := len(node.knowledge.Fleet().Alive())
	node.limits.Take(others, entries, node.knowledge.Routes().Accounts())
	node.tracks.Take(others, node.knowledge.Servers().All())
	node.forget()
	node.logRelays()
	node.budgets.SetFloor(repeatShare * node.settings.Load().RepeatSlack / float64(entries))
	if node.knowledge.Routes().Loaded() {
		if err := node.life.Loaded(); err != nil {
			node.logger.Error().Err(err).Msg("becoming ready failed")
		}
	}
}

// logRelays logs which entries are relays when that changes.
func (node *Node) logRelays() {
	fleet := node.knowledge.Fleet()
	var names []string
	for _, relay := range fleet.Relays() {
		names = append(names, relay.Name)
	}
	if slices.Equal(names, node.relays) {
		return
	}
	node.relays = names
	node.logger.Info().Strs("Relays", names).Int("Entries", len(fleet.Alive())).Bool("Relay", fleet.IsRelay()).Msg("relays changed")
}

// forget closes the idle connections to servers that are gone; others may have their addresses soon.
func (node *Node) forget() {
	servers := node.knowledge.Servers()
	if servers.Generation() == node.forgotten {
		return
	}
	node.forgotten = servers.Generation()
	known := map[string]bool{}
	for _, server := range servers.All() {
		known[backend.Key(server)] = true
	}
	node.client.Forget(func(key string) bool { return known[key] })
}

// View returns the membership for the choice of the duty's holder.
func (node *Node) View() vm.View {
	var members []vm.Member
	for _, member := range node.knowledge.Fleet().Alive() {
		members = append(members, vm.Member{
			Origin:    vm.Origin{Name: member.Name, Incarnation: vm.Incarnation{Start: member.Incarnation}},
			Leaving:   member.Stopping,
			Condition: vm.ConditionAlive,
		})
	}
	return vm.View{}.WithMembers(members...)
}

// Claimed reports that another live entry says that it holds the duty.
func (node *Node) Claimed() bool {
	_, claimed := node.knowledge.Fleet().Holder()
	return claimed
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

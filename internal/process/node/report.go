package node

import (
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
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

// FillState brings the entry's own record up to date.
func (node *Node) FillState(record cluster.EntryState) cluster.EntryState {
	record.Admitted = node.limits.Admitted()
	record.Demand = node.demand.TokensPerSecond()
	record.Running = node.tracks.Running()
	record.Leaving = node.knowledge.Servers().LeavingSince(node.bootNow() - leavingTime)
	record.Suspects = node.suspects.Load().TopCrashReports(toldSuspects, time.Now(), forward.CrashWindow)
	record.IsLeader = node.keeper != nil && node.keeper.IsLeader()
	return record
}

// Usage returns what the entry counted.
func (node *Node) Usage() usage.Counts { return node.usage.counts.Load() }

// HandlePeerState takes the suspects of another entry.
func (node *Node) HandlePeerState(record cluster.EntryState) {
	if len(record.Suspects) == 0 {
		return
	}
	now := time.Now()
	node.suspects.Update(func(register suspect.Tracker) suspect.Tracker {
		return register.WithReports(record.Suspects).WithMaxAge(now, forward.CrashWindow)
	})
}

// HandleClusterUpdate takes what the other entries state into the decisions of this one.
func (node *Node) HandleClusterUpdate() {
	neighbours, now := node.knowledge.Cluster(), node.bootNow()
	others := neighbours.OtherAggregates(now)
	entries := len(node.knowledge.Fleet().Alive())
	node.limits.MergePeers(others, entries, node.knowledge.Routes().Accounts())
	node.tracks.MergePeers(others, node.knowledge.Servers().All())
	node.forget()
	node.logRelays()
	node.budgets.SetFloor(repeatShare * node.settings.Load().RepeatSlack / float64(entries))
	if node.knowledge.Routes().Loaded() {
		if err := node.life.SetReady(); err != nil {
			node.logger.Error().Err(err).Msg("becoming ready failed")
		}
	}
}

// logRelays logs which entries are relays when that changes.
func (node *Node) logRelays() {
	fleet := node.knowledge.Fleet()
	var names []string
	for _, relay := range fleet.Aggregators() {
		names = append(names, relay.Name)
	}
	if slices.Equal(names, node.relays) {
		return
	}
	node.relays = names
	node.logger.Info().Strs("Relays", names).Int("Entries", len(fleet.Alive())).Bool("Relay", fleet.IsAggregator()).Msg("relays changed")
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
		known[backend.ConnectionKey(server)] = true
	}
	node.client.CloseIdleExcept(func(key string) bool { return known[key] })
}

// View returns the membership for the choice of the duty's holder.
func (node *Node) View() membership.View {
	var members []membership.Member
	for _, member := range node.knowledge.Fleet().Alive() {
		members = append(members, membership.Member{
			Origin:    membership.Origin{Name: member.Name, Incarnation: membership.Incarnation{Start: member.Incarnation}},
			Leaving:   member.Stopping,
			Condition: membership.ConditionAlive,
		})
	}
	return membership.View{}.WithMembers(members...)
}

// HasOtherLeader reports that another live entry says that it holds the duty.
func (node *Node) HasOtherLeader() bool {
	_, claimed := node.knowledge.Fleet().Leader()
	return claimed
}

// meter counts the calls that began, by window and client account.
type meter struct {
	wall interface{ WallTime() time.Time }
	// length is the length of a window.
	length time.Duration
	counts *rcu.Cell[usage.Counts]
}

func newMeter(wall interface{ WallTime() time.Time }, length time.Duration) *meter {
	return &meter{wall: wall, length: length, counts: rcu.New(usage.Counts{})}
}

// RecordStarted counts a call of a client account.
func (meter *meter) RecordStarted(account string) {
	if account == "" || meter.length <= 0 {
		return
	}
	window := usage.WindowAt(meter.wall.WallTime(), meter.length)
	meter.counts.Update(func(counts usage.Counts) usage.Counts { return counts.WithRequest(window, account) })
}

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

// retryFloorShare is the part of the slack for repeats that the entries use together;
// a spent floor grows back within a window.
const retryFloorShare = 0.4

// maxCrashReports is how many crashes an entry tells others of at a time.
const maxCrashReports = 32

// leavingReportTime is how long an entry tells others of a server that leaves.
const leavingReportTime = 10 * time.Second

// FillState brings the entry's own record up to date.
func (node *Node) FillState(record cluster.EntryState) cluster.EntryState {
	record.Admitted = node.limits.Admitted()
	record.Demand = node.demand.TokensPerSecond()
	record.Running = node.observations.Running()
	record.Leaving = node.sharedState.Servers().LeavingSince(node.bootNow() - leavingReportTime)
	record.Suspects = node.crashTracker.Load().TopCrashReports(maxCrashReports, time.Now(), forward.CrashWindow)
	record.IsLeader = node.elector != nil && node.elector.IsLeader()
	return record
}

// Usage returns what the entry counted.
func (node *Node) Usage() usage.Counts { return node.usageCounter.counts.Load() }

// HandlePeerState takes the suspects of another entry.
func (node *Node) HandlePeerState(record cluster.EntryState) {
	if len(record.Suspects) == 0 {
		return
	}
	now := time.Now()
	node.crashTracker.Update(func(register suspect.Tracker) suspect.Tracker {
		return register.WithReports(record.Suspects).WithMaxAge(now, forward.CrashWindow)
	})
}

// HandleClusterUpdate takes what the other entries state into the decisions of this one.
func (node *Node) HandleClusterUpdate() {
	neighbours, now := node.sharedState.Cluster(), node.bootNow()
	others := neighbours.OtherAggregates(now)
	entries := len(node.sharedState.Fleet().Alive())
	node.limits.MergePeers(others, entries, node.sharedState.Routes().Accounts())
	node.observations.MergePeers(others, node.sharedState.Servers().All())
	node.closeStaleConnections()
	node.logAggregators()
	node.budgets.SetFloor(retryFloorShare * node.settings.Load().RepeatSlack / float64(entries))
	if node.sharedState.Routes().Loaded() {
		if err := node.lifecycle.SetReady(); err != nil {
			node.logger.Error().Err(err).Msg("becoming ready failed")
		}
	}
}

// logAggregators logs which entries are relays when that changes.
func (node *Node) logAggregators() {
	fleet := node.sharedState.Fleet()
	var names []string
	for _, relay := range fleet.Aggregators() {
		names = append(names, relay.Name)
	}
	if slices.Equal(names, node.loggedAggregators) {
		return
	}
	node.loggedAggregators = names
	node.logger.Info().Strs("Relays", names).Int("Entries", len(fleet.Alive())).Bool("Relay", fleet.IsAggregator()).Msg("relays changed")
}

// closeStaleConnections closes the idle connections to servers that are gone; others may have their addresses soon.
func (node *Node) closeStaleConnections() {
	servers := node.sharedState.Servers()
	if servers.Generation() == node.prunedGeneration {
		return
	}
	node.prunedGeneration = servers.Generation()
	known := map[string]bool{}
	for _, server := range servers.All() {
		known[backend.ConnectionKey(server)] = true
	}
	node.client.CloseIdleExcept(func(key string) bool { return known[key] })
}

// View returns the membership for the choice of the duty's holder.
func (node *Node) View() membership.View {
	var members []membership.Member
	for _, member := range node.sharedState.Fleet().Alive() {
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
	_, claimed := node.sharedState.Fleet().Leader()
	return claimed
}

// usageCounter counts the calls that began, by window and client account.
type usageCounter struct {
	clock interface{ WallTime() time.Time }
	// windowLength is the length of a window.
	windowLength time.Duration
	counts *rcu.Cell[usage.Counts]
}

func newUsageCounter(wall interface{ WallTime() time.Time }, length time.Duration) *usageCounter {
	return &usageCounter{clock: wall, windowLength: length, counts: rcu.New(usage.Counts{})}
}

// RecordStarted counts a call of a client account.
func (usageCounter *usageCounter) RecordStarted(account string) {
	if account == "" || usageCounter.windowLength <= 0 {
		return
	}
	window := usage.WindowAt(usageCounter.clock.WallTime(), usageCounter.windowLength)
	usageCounter.counts.Update(func(counts usage.Counts) usage.Counts { return counts.WithRequest(window, account) })
}

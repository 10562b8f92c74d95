package node

import (
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// retryFloorShare is the fraction of [Settings.RetryAllowance] that the floors of the retry budgets of all entries
// add up to. It is below 1 because a floor that has been spent is available again within a window of the budget.
const retryFloorShare = 0.4

// maxCrashReports is the maximum number of reports of crashes and completions in the state that an entry sends.
const maxCrashReports = 32

// leavingReportTime is how long an entry reports a server to its peers that is leaving and not listed so.
const leavingReportTime = 10 * time.Second

// FillState returns the entry's state with its current values, before it is sent to peers.
func (node *Node) FillState(state cluster.EntryState) cluster.EntryState {
	state.Admitted, state.Asked = node.limits.Totals()
	state.Demand = node.demand.TokensPerSecond()
	state.ShareFigures = node.sharing.Figures()
	state.PrefillSamples = node.demand.PrefillSamples()
	state.Running = node.observations.Running()
	state.PaceLogs, state.PaceSamples = node.observations.Paces(node.bootNow())
	state.LeavingServers = node.sharedState.Servers().UnlistedDepartures(node.bootNow() - leavingReportTime)
	state.CrashReports = node.crashes.Reports(maxCrashReports)
	state.Reported = node.reported.Load()
	state.PartReports = node.partCrashes.Reports(maxCrashReports)
	if node.rollouts != nil {
		state.Evidence, state.MovedEntries, state.StoppedRollouts = node.rollouts.Evidence(), node.rollouts.Moved(), node.rollouts.Stops()
	}
	state.IsLeader = node.elector != nil && node.elector.IsLeader()
	return state
}

// Usage returns the usage that the entry has counted.
func (node *Node) Usage() usage.Counts { return node.usageCounter.counts.Load() }

// HandlePeerState merges the crash reports and the reported usage windows in the state of a peer into those of this entry.
func (node *Node) HandlePeerState(state cluster.EntryState) {
	if len(state.Reported.Digests()) > 0 && node.started.UsageWindow >= time.Millisecond {
		told := state.Reported.Until(usage.WindowAt(node.sharedState.WallTime(), node.started.UsageWindow))
		node.reported.Update(func(reported usage.Reported) usage.Reported { return reported.Merge(told) })
	}
	node.crashes.MergeReports(state.CrashReports)
	node.partCrashes.MergeReports(state.PartReports)
	if node.rollouts != nil && node.rollouts.MergeStops(state.StoppedRollouts) {
		node.sharedState.RequestRound()
	}
}

// HandleClusterUpdate applies the states that the peers reported to the limits, observations and retry budgets
// of this entry, and makes the entry ready once it has a configuration.
func (node *Node) HandleClusterUpdate() {
	state, now := node.sharedState.Cluster(), node.bootNow()
	aggregates := state.OtherAggregates(now)
	entries := len(node.sharedState.Fleet().Alive())
	node.limits.MergePeers(aggregates, entries, node.sharedState.Routes().Accounts())
	levels := state.OtherLevels(now)
	node.observations.MergePeers(levels.Running, entries)
	node.observations.MergeListing(node.sharedState.Servers().All(), now)
	node.observations.MergePaces(levels.PaceLogs, levels.PaceSamples)
	node.mergeRollouts(aggregates)
	node.sharing.Update(node.sharedState.Routes(), node.sharedState.Servers(), levels.ShareFigures)
	node.removeUnlistedServers()
	node.logAggregators()
	node.logQuarantinedParts()
	node.logStoreStatus()
	node.retryBudgets.SetFloor(retryFloorShare * node.settings.Load().RetryAllowance / float64(entries))
	if node.sharedState.Routes().Loaded() {
		if err := node.lifecycle.SetReady(); err != nil {
			node.logger.Error().Err(err).Msg("could not mark the entry ready for requests")
		}
	}
}

// logAggregators logs the aggregators when they have changed.
func (node *Node) logAggregators() {
	fleet := node.sharedState.Fleet()
	var names []string
	for _, aggregator := range fleet.Aggregators() {
		names = append(names, aggregator.Name)
	}
	if slices.Equal(names, node.loggedAggregators) {
		return
	}
	node.loggedAggregators = names
	node.logger.Info().Strs("Relays", names).Int("Entries", len(fleet.Alive())).Bool("Relay", fleet.IsAggregator()).Msg("aggregators changed")
}

// logQuarantinedParts logs the parts of prompts that are refused when they have changed.
func (node *Node) logQuarantinedParts() {
	parts := node.partCrashes.Quarantined()
	if slices.Equal(parts, node.loggedParts) {
		return
	}
	node.loggedParts = parts
	event := node.logger.Warn()
	if len(parts) == 0 {
		event = node.logger.Info()
	}
	event.Strs("Parts", partNames(parts)).Msg("calls with parts of prompts that crash servers are refused; the parts have changed")
}

// logStoreStatus logs a restore of the store, and once that the store sends malformed eras.
func (node *Node) logStoreStatus() {
	status, logged := node.platform.Store.Status(), node.loggedStatus
	node.loggedStatus = status
	if status.Era != logged.Era && !status.RestoredBeforeStart {
		node.logger.Warn().Int64("Era", status.Era).Int64("Before", logged.Era).
			Msg("the store was restored from a backup; reading it anew, and a leader acquires its lease again")
	}
	if status.MalformedEras > 0 && logged.MalformedEras == 0 {
		node.logger.Warn().Msg("the store sent a malformed era, which is ignored; further ones are counted only")
	}
}

func partNames(parts []suspect.PartFingerprint) []string {
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = part.String()
	}
	return names
}

// removeUnlistedServers closes the idle connections to servers that are no longer listed, because other servers
// may soon have their addresses, and removes the metrics of such servers.
func (node *Node) removeUnlistedServers() {
	servers := node.sharedState.Servers()
	if servers.Generation() == node.prunedGeneration {
		return
	}
	node.prunedGeneration = servers.Generation()
	listed := map[string]bool{}
	for _, server := range servers.All() {
		listed[backend.ConnectionKey(server)] = true
	}
	node.client.CloseIdleExcept(func(key string) bool { return listed[key] })
	node.failures.Retain(servers.All())
}

// View returns the membership from which the leader of the duty is chosen.
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

// HasOtherLeader reports whether another live entry reports that it is the leader of the duty, or may do so: the entries of
// a fleet that starts do not know all others yet.
func (node *Node) HasOtherLeader() bool {
	_, found := node.sharedState.Fleet().Leader()
	return found || node.sharedState.FleetStarts(node.Seeds())
}

// usageCounter counts the calls that began to run, by window and client account.
type usageCounter struct {
	clock interface{ WallTime() time.Time }
	// windowLength is the length of a window; if it is 0, no calls are counted.
	windowLength time.Duration
	counts       *rcu.Cell[usage.Counts]
}

func newUsageCounter(clock interface{ WallTime() time.Time }, windowLength time.Duration) *usageCounter {
	return &usageCounter{clock: clock, windowLength: windowLength, counts: rcu.New(usage.Counts{})}
}

// RecordStarted counts a call of a client account; calls without an account are not counted.
func (usageCounter *usageCounter) RecordStarted(account string) {
	if account == "" || usageCounter.windowLength <= 0 {
		return
	}
	window := usage.WindowAt(usageCounter.clock.WallTime(), usageCounter.windowLength)
	usageCounter.counts.Update(func(counts usage.Counts) usage.Counts { return counts.WithRequest(window, account) })
}

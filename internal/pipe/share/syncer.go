package share

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

const (
	// exchangeInterval is the time between exchanges. The age of the other entries' counts
	// determines how exactly limits over all entries are kept.
	exchangeInterval = 250 * time.Millisecond
	// mediumInterval is the time between exchanges among more than fewEntries entries, where an
	// aggregator has to answer many exchanges.
	mediumInterval = 500 * time.Millisecond
	// joinTime is the time after the start in which an entry joins the fleet, with short rounds whatever its size.
	joinTime = 4 * time.Second
	// fewEntries is the number of live entries above which exchanges start less often, and changes are
	// passed on in messages of their own in place of an additional round.
	fewEntries = 12
	// exchangeTimeout is short, since a peer that does not answer can be skipped. An entry without contact waits for
	// exchangeTimeoutAlone only: a call to a seed that has no power yet hangs, and a new one reaches it once it has started.
	exchangeTimeout      = 600 * time.Millisecond
	exchangeTimeoutAlone = 200 * time.Millisecond
	// avoidDuration is how long a peer that did not answer is skipped. An entry without contact skips it for
	// avoidDurationAlone only: where all entries start at once, the seeds may start a moment later.
	avoidDuration      = time.Second
	avoidDurationAlone = 150 * time.Millisecond
	// updateDelay is how long a change waits for further changes, so that one message carries them all.
	updateDelay = 10 * time.Millisecond
	// probeEvery is the interval, in rounds, of exchanges with an entry chosen at random.
	probeEvery = 8
	// usageEvery is the interval, in rounds, of messages with the entry's own usage counts.
	usageEvery = 2
	// forwardUsageEvery is the interval, in rounds, of messages that forward other entries'
	// usage counts to the leader.
	forwardUsageEvery = 4
	// usageWindows is the number of recent usage windows in a message.
	usageWindows = 3
	// minAgeAdvantage is how much newer a peer's read of the store must be for this entry to
	// exchange state with that peer in addition to its usual ones.
	minAgeAdvantage = 300 * time.Millisecond
)

// LocalEntry provides this entry's own state and is notified of the state of its peers.
type LocalEntry interface {
	// FillState returns the entry's state with its current values, before it is sent to peers.
	FillState(entry cluster.EntryState) cluster.EntryState
	// Usage returns the requests that this entry has counted, by usage window and client account.
	Usage() usage.Counts
	// HandlePeerState is called with the state that a peer reported of itself.
	HandlePeerState(entry cluster.EntryState)
	// HandleClusterUpdate is called at the start of each round, after expired state of other entries
	// has been removed.
	HandleClusterUpdate()
	// HandleExchange is called when an exchange with a peer has ended.
	HandleExchange(record ExchangeRecord)
}

// Seeds provides the addresses at which to look for other entries.
type Seeds interface {
	// Seeds returns the addresses, at which an entry may or may not be running.
	Seeds() []string
}

// Syncer exchanges the shared state with peers, as client and as server.
type Syncer struct {
	shared *SharedState
	client PeerClient
	entry  LocalEntry
	seeds  Seeds
	peers  *rcu.Cell[map[string]peerStatus]
	// newerPeer is the address of an entry that advertised a newer read of the store, empty for none.
	newerPeer  *rcu.Cell[string]
	exchanges  sync.WaitGroup
	roundCount int
	// lastLeader is the incarnation that was the leader in the last round.
	lastLeader string
	// sentStoreUnreachable reports whether the store was unreachable at the last round.
	sentStoreUnreachable bool
}

// NewSyncer returns a syncer that looks for its first peers at seeds.
func NewSyncer(shared *SharedState, client PeerClient, entry LocalEntry, seeds Seeds) *Syncer {
	return &Syncer{shared: shared, client: client, entry: entry, seeds: seeds, peers: rcu.New(map[string]peerStatus{}), newerPeer: rcu.New("")}
}

// Run starts rounds of exchanges until the context ends, and then waits for the exchanges in progress.
func (syncer *Syncer) Run(ctx context.Context) error {
	defer syncer.exchanges.Wait()
	syncer.runRound(ctx, false)
	timer := time.NewTimer(syncer.interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			syncer.runRound(ctx, false)
		case <-syncer.shared.pushRequested:
			// A change does not wait for the next round, so that it reaches all entries within a few messages.
			if pause.For(ctx, updateDelay) != nil {
				return nil
			}
			if !syncer.push(ctx) {
				continue
			}
			syncer.runRound(ctx, true)
		}
		timer.Reset(syncer.interval())
	}
}

// interval returns the time to the next round. It is short after the start, since each round shows an entry more of a fleet
// that starts with it, up to the aggregators on which all agree.
func (syncer *Syncer) interval() time.Duration {
	if syncer.shared.clock.Now()-syncer.shared.startedAt < joinTime {
		return exchangeInterval
	}
	return roundInterval(syncer.shared.Fleet())
}

// roundInterval returns the time between exchanges, which grows with the number of entries.
func roundInterval(fleet cluster.Fleet) time.Duration {
	if len(fleet.Alive()) <= fewEntries {
		return exchangeInterval
	}
	return mediumInterval
}

// Answer merges a peer's state message and returns the state that the peer does not have.
func (syncer *Syncer) Answer(message StateMessage) Reply {
	shared, sender := syncer.shared, message.Sender
	// The transit time of the message is unknown, so the ages in it are lower bounds only. The
	// transit time of a reply is bounded by the time since the request. If the sender's copy seems
	// newer, this entry therefore sends the sender a message and uses the ages in its reply.
	if message.Routes.Revision > 0 && (message.Routes.Age+minAgeAdvantage < shared.RoutesAge() || message.Servers.Age+minAgeAdvantage < shared.ServersAge()) {
		syncer.newerPeer.Store(sender.Address)
		shared.RequestRound()
	}
	syncer.mergeRoutes(message.Routes, 0)
	syncer.mergeServers(message.Servers, 0)
	syncer.recordCopies(sender.Address, message.Routes, message.Servers)
	if message.IsPush {
		syncer.receiveState(sender)
		self := cluster.EntryState{Member: shared.Cluster().Self().Member}
		return syncer.withInlineContent(Reply{Replier: self}, message)
	}
	shared.updateCluster(func(state cluster.State, now time.Duration) cluster.State {
		if message.IsHeartbeat {
			state = state.WithHeartbeat(sender, now)
		}
		// An entry that is not an aggregator receives the other aggregates as sums from its own
		// aggregator. If it also merged them from here, it would count them twice.
		if message.IsHeartbeat || shared.Fleet().IsAggregator() {
			state = withAggregates(state, message.Aggregates, now)
		}
		return state.WithMemberLists(message.MemberLists, now).WithUsage(message.Usage, now)
	})
	shared.addClockSample(sender)
	syncer.receiveState(sender)
	return syncer.reply(message)
}

// reply returns the state that the sender of a message does not have.
func (syncer *Syncer) reply(message StateMessage) Reply {
	shared, fleet := syncer.shared, syncer.shared.Fleet()
	aggregator := fleet.IsAggregator()
	state, now := shared.Cluster(), shared.clock.Now()
	reply := syncer.withInlineContent(Reply{
		Replier:      state.Self(),
		Aggregates:   state.Aggregates(aggregator),
		MemberDigest: memberDigestOf(state, message.Aggregates),
	}, message)
	// The receiver would count these twice, since they are also part of the aggregates.
	reply.Replier.Admitted, reply.Replier.Asked, reply.Replier.Evidence, reply.Replier.MovedEntries = nil, nil, nil, nil
	reply.Replier.Running, reply.Replier.Demand, reply.Replier.PrefillSamples = nil, nil, nil
	reply.Replier.PaceLogs, reply.Replier.PaceSamples = nil, nil
	reply.Replier.Clock = shared.WallTime().Round(0)
	switch {
	case message.IsHeartbeat:
		reply.Aggregates = state.AggregatesFor(message.Sender.Name, now)
		if len(fleet.Alive()) > fewEntries {
			reply.Aggregates[0] = reply.Aggregates[0].WithoutIdleServers(shared.serverSlots())
		}
	case !fleet.Contains(message.Sender.Name), len(message.Aggregates) > 0 && !fleet.HasAggregator(message.Sender.Name):
		// The sender may be in a partition of the cluster that has different aggregators, or know only a part of the
		// entries and take itself for an aggregator. The aggregate alone would not show it the others.
		reply.MemberLists = []cluster.MemberList{state.MemberList(now)}
	}
	for i, aggregate := range reply.Aggregates {
		if slices.Contains(message.MemberDigests, cluster.MemberDigest{ID: aggregate.ID, Digest: aggregate.MemberDigest}) {
			reply.Aggregates[i] = aggregate.WithoutMembers()
		}
	}
	return reply
}

// withInlineContent returns the reply with what the sender of a message lacks of the store. Content that is too long for a
// reply, which the sender awaits for exchangeTimeout only, is pushed to it.
func (syncer *Syncer) withInlineContent(reply Reply, message StateMessage) Reply {
	routes, routesOmitted := syncer.shared.routesFor(message.Routes).inline()
	servers, serversOmitted := syncer.shared.serversFor(message.Servers).inline()
	if routesOmitted || serversOmitted {
		syncer.requestPushTo(message.Sender.Address)
	}
	reply.Routes, reply.Servers = routes, servers
	return reply
}

// memberDigestOf returns the digest of the members of the sender's own aggregate that this entry already has.
func memberDigestOf(state cluster.State, aggregates []cluster.Aggregate) uint64 {
	if len(aggregates) == 0 {
		return 0
	}
	return state.MemberDigestOf(aggregates[0].ID)
}

// withAggregates merges aggregates that were received from the aggregators that computed them.
func withAggregates(state cluster.State, aggregates []cluster.Aggregate, now time.Duration) cluster.State {
	for _, aggregate := range aggregates {
		state = state.WithAggregate(aggregate, now)
	}
	return state
}

// mergeRoutes merges a peer's copy of the configuration, which was the latest at currentAt. Errors are ignored: the peer has
// already decoded the content without one, and content packed against a copy that this entry no longer has is followed by
// other content in the next message, which tells the peer what this entry has.
func (syncer *Syncer) mergeRoutes(read CachedRead, currentAt time.Duration) {
	if content := unpacked(syncer.shared.routesPacker, read); read.Revision > 0 && content != nil {
		_ = syncer.shared.MergeRoutes(read.Revision, currentAt, content)
	}
}

// mergeServers merges a peer's copy of the list of servers, which was the latest at currentAt. A difference to a list
// that this entry no longer has is ignored: the next exchange gets the difference to its present one.
func (syncer *Syncer) mergeServers(read CachedRead, currentAt time.Duration) {
	if read.Revision == 0 {
		return
	}
	if read.Delta != nil {
		_ = syncer.shared.mergeServerDelta(read, currentAt)
		return
	}
	if content := unpacked(syncer.shared.serversPacker, read); content != nil {
		_ = syncer.shared.MergeServers(read.Revision, currentAt, content)
	}
}

// unpacked returns the content of a peer's read, nil for none.
func unpacked(packer *packer, read CachedRead) []byte {
	if read.Packed == nil {
		return read.Content
	}
	content, err := packer.unpack(read)
	if err != nil {
		return nil
	}
	return content
}

// receiveState processes the state that a peer reported of itself.
func (syncer *Syncer) receiveState(entry cluster.EntryState) {
	for id, startedMs := range entry.LeavingServers {
		syncer.shared.MarkLeaving(id, startedMs)
	}
	syncer.entry.HandlePeerState(entry)
}

// runRound starts the exchanges of one round.
//
// If push is set, the messages contain the content that was read from the store, and more peers receive them.
func (syncer *Syncer) runRound(ctx context.Context, push bool) {
	syncer.shared.updateCluster(cluster.State.WithoutExpired)
	syncer.entry.HandleClusterUpdate()
	syncer.shared.UpdateSelf(func(entry cluster.EntryState) cluster.EntryState {
		entry = syncer.entry.FillState(entry)
		entry.Clock = time.Now().Round(0)
		entry.StoreUnreachable = syncer.shared.failingParts.Load() > 0
		return entry
	})
	syncer.roundCount++
	syncer.sentStoreUnreachable = syncer.shared.failingParts.Load() > 0
	state, now := syncer.shared.Cluster(), syncer.shared.clock.Now()
	fleet := state.NextFleet(syncer.shared.Fleet(), now)
	syncer.shared.fleet.Store(fleet)
	syncer.forgetPeers(fleet, now)
	content := messageContent{
		storeContent: push, usage: syncer.roundCount%usageEvery == 0,
		peerUsage: syncer.roundCount%forwardUsageEvery == 0 || syncer.leaderChanged(fleet),
	}
	for _, target := range syncer.targets(state, fleet, now, push) {
		if syncer.beginExchange(target.Address) {
			syncer.exchanges.Go(func() { syncer.exchangeWith(ctx, target, content) })
		}
	}
}

// targets returns the entries to exchange state with in a round.
func (syncer *Syncer) targets(state cluster.State, fleet cluster.Fleet, now time.Duration, push bool) []cluster.Target {
	targets := fleet.Targets(func(address string) bool { return syncer.isReachable(address, now) })
	if push {
		for _, entry := range state.Reporters() {
			targets = append(targets, cluster.Target{Address: entry.Address})
		}
	}
	targets = append(targets, syncer.probes(fleet, now)...)
	if address := syncer.newerPeer.Swap(""); address != "" {
		targets = append(targets, cluster.Target{Address: address})
	}
	return targets
}

// leaderChanged reports whether the leader is another entry than in the last round.
func (syncer *Syncer) leaderChanged(fleet cluster.Fleet) bool {
	leader, _ := fleet.Leader()
	changed := leader.ID() != syncer.lastLeader
	syncer.lastLeader = leader.ID()
	return changed
}

// exchangeWith sends a message to one peer and merges its reply. A peer that does not answer is
// skipped for avoidDuration.
func (syncer *Syncer) exchangeWith(ctx context.Context, target cluster.Target, content messageContent) {
	shared, timeout := syncer.shared, exchangeTimeout
	if shared.IsAlone() {
		timeout = exchangeTimeoutAlone
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestedAt := shared.clock.Now()
	message := syncer.stateMessage(target, content)
	reply, err := syncer.send(ctx, ExchangeState, target.Address, message)
	syncer.endExchange(target.Address, err == nil, reply)
	if err != nil {
		return
	}
	syncer.receiveState(reply.Replier)
	shared.updateCluster(func(state cluster.State, now time.Duration) cluster.State {
		if target.SendHeartbeat {
			return state.WithAggregatorReply(reply.Aggregates, now)
		}
		if shared.Fleet().IsAggregator() {
			state = withAggregates(state, reply.Aggregates, now)
		}
		return state.WithMemberLists(reply.MemberLists, now)
	})
	if target.SendHeartbeat {
		shared.setAggregatorClock(reply.Replier)
	}
	syncer.mergeReply(reply, requestedAt)
}

// mergeReply merges what a peer has of the store, from its reply to a message that was sent after requestedAt.
//
// The peer computed the ages after the message was sent. Subtracted from the time before that, they yield lower bounds
// of the times at which the contents were the latest.
func (syncer *Syncer) mergeReply(reply Reply, requestedAt time.Duration) {
	if reply.Routes.hasContent() {
		syncer.mergeRoutes(reply.Routes, requestedAt-reply.Routes.Age)
	} else if reply.Routes.Revision > 0 {
		syncer.shared.confirmRoutes(reply.Routes, requestedAt-reply.Routes.Age)
	}
	if reply.Servers.hasContent() {
		syncer.mergeServers(reply.Servers, requestedAt-reply.Servers.Age)
	} else if reply.Servers.Revision > 0 {
		syncer.shared.confirmServers(reply.Servers, requestedAt-reply.Servers.Age)
	}
}

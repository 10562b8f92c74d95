package share

import (
	"context"
	"maps"
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
	// slowInterval is the time between exchanges among more than manyEntries entries, where
	// each reply is long.
	slowInterval = time.Second
	// fewEntries and manyEntries are the numbers of live entries above which exchanges start less often.
	fewEntries  = 12
	manyEntries = 150
	// exchangeTimeout is short, since a peer that does not answer can be skipped.
	exchangeTimeout = 600 * time.Millisecond
	// avoidDuration is how long a peer that did not answer is skipped.
	avoidDuration = time.Second
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
	// pushedDigest is the digest of the configuration at the last push.
	pushedDigest uint64
	// pushedStoreUnreachable reports whether the store was unreachable at the last push.
	pushedStoreUnreachable bool
}

// peerStatus is the status of the exchanges with one address.
type peerStatus struct {
	// busy reports that an exchange is in progress.
	busy bool
	// avoidUntil is the boot time until which the peer is skipped, after it did not answer.
	avoidUntil time.Duration
	// memberDigest is the digest of those members of this entry's aggregate that the peer already has.
	memberDigest uint64
}

// NewSyncer returns a syncer that looks for its first peers at seeds.
func NewSyncer(shared *SharedState, client PeerClient, entry LocalEntry, seeds Seeds) *Syncer {
	return &Syncer{shared: shared, client: client, entry: entry, seeds: seeds, peers: rcu.New(map[string]peerStatus{}), newerPeer: rcu.New("")}
}

// Run starts rounds of exchanges until the context ends, and then waits for the exchanges in progress.
func (syncer *Syncer) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer syncer.exchanges.Wait()
	push := false
	for {
		syncer.runRound(ctx, push)
		push = false
		timer.Reset(roundInterval(syncer.shared.Fleet()))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-syncer.shared.pushRequested:
			// A push does not wait for the interval, so that a change reaches all entries within
			// a few exchanges.
			push = true
			if pause.For(ctx, updateDelay) != nil {
				return nil
			}
		}
	}
}

// roundInterval returns the time between exchanges, which grows with the number of entries.
func roundInterval(fleet cluster.Fleet) time.Duration {
	switch count := len(fleet.Alive()); {
	case count <= fewEntries:
		return exchangeInterval
	case count <= manyEntries:
		return mediumInterval
	}
	return slowInterval
}

// Answer merges a peer's state message and returns the state that the peer does not have.
func (syncer *Syncer) Answer(message StateMessage) Reply {
	shared, sender := syncer.shared, message.Sender
	// The transit time of the message is unknown, so the ages in it are lower bounds only. The
	// transit time of a reply is bounded by the time since the request. If the sender's copy seems
	// newer, this entry therefore sends the sender a message and uses the ages in its reply.
	if message.Routes.Revision > 0 && (message.Routes.Age+minAgeAdvantage < shared.RoutesAge() || message.Servers.Age+minAgeAdvantage < shared.ServersAge()) {
		syncer.newerPeer.Store(sender.Address)
		shared.requestPush()
	}
	syncer.mergeRead(message.Routes, 0, shared.MergeRoutes)
	syncer.mergeRead(message.Servers, 0, shared.MergeServers)
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
	shared, aggregator := syncer.shared, syncer.shared.Fleet().IsAggregator()
	state, now := shared.Cluster(), shared.clock.Now()
	reply := Reply{
		Replier:      state.Self(),
		Aggregates:   state.Aggregates(aggregator),
		MemberDigest: memberDigestOf(state, message.Aggregates),
		Routes:       cachedReadFor(shared, shared.routes, message.Routes),
		Servers:      cachedReadFor(shared, shared.serverList, message.Servers),
	}
	// The receiver would count these twice, since they are also part of the aggregates.
	reply.Replier.Admitted, reply.Replier.Running, reply.Replier.Demand = nil, nil, nil
	reply.Replier.Clock = shared.WallTime().Round(0)
	switch {
	case message.IsHeartbeat:
		reply.Aggregates = state.AggregatesFor(message.Sender.Name, now)
	case len(message.Aggregates) == 0 || !aggregator:
		// The sender may be in a partition of the cluster that has different aggregators.
		reply.MemberLists = []cluster.MemberList{state.MemberList(now)}
	}
	for i, aggregate := range reply.Aggregates {
		if slices.Contains(message.MemberDigests, cluster.MemberDigest{ID: aggregate.ID, Digest: aggregate.MemberDigest}) {
			reply.Aggregates[i] = aggregate.WithoutMembers()
		}
	}
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

// mergeRead merges a peer's read of the store, which was the latest at currentAt. An error of
// merge is ignored, since the peer has already decoded the content without an error.
func (syncer *Syncer) mergeRead(read CachedRead, currentAt time.Duration, merge mergeFunc) {
	if read.Revision > 0 && read.Content != nil {
		_ = merge(read.Revision, currentAt, read.Content)
	}
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
	state, now := syncer.shared.Cluster(), syncer.shared.clock.Now()
	fleet := state.Fleet(now)
	syncer.shared.fleet.Store(fleet)
	content := messageContent{storeContent: push, usage: syncer.roundCount%usageEvery == 0, peerUsage: syncer.roundCount%forwardUsageEvery == 0 || syncer.leaderChanged(fleet)}
	for _, target := range syncer.targets(state, fleet, now, push) {
		if syncer.beginExchange(target.Address) {
			syncer.exchanges.Go(func() { syncer.exchangeWith(ctx, target, content) })
		}
	}
}

// targets returns the entries to exchange state with in a round.
func (syncer *Syncer) targets(state cluster.State, fleet cluster.Fleet, now time.Duration, push bool) []cluster.Target {
	targets := fleet.Targets(func(address string) bool { return syncer.isReachable(address, now) })
	if push && syncer.pushesToReporters(fleet) {
		for _, entry := range state.Reporters() {
			targets = append(targets, cluster.Target{Address: entry.Address})
		}
	}
	targets = append(targets, syncer.probes(fleet, now)...)
	if address := syncer.newerPeer.Load(); address != "" {
		syncer.newerPeer.Store("")
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

// pushesToReporters reports whether changes are pushed to all entries that send heartbeats to
// this one, which costs an exchange with each of them.
//
// Among many entries, only two changes are pushed: a new configuration, and whether this entry
// reaches the store, so that another entry reads it.
func (syncer *Syncer) pushesToReporters(fleet cluster.Fleet) bool {
	digest, storeUnreachable := syncer.shared.routes.Load().Value.Digest, syncer.shared.failingParts.Load() > 0
	changed := digest != syncer.pushedDigest || storeUnreachable != syncer.pushedStoreUnreachable
	syncer.pushedDigest, syncer.pushedStoreUnreachable = digest, storeUnreachable
	return changed || len(fleet.Alive()) <= fewEntries
}

// beginExchange marks an exchange with an address as in progress, and returns false if there already is one.
func (syncer *Syncer) beginExchange(address string) bool {
	_, begun := rcu.Apply(syncer.peers, func(peers map[string]peerStatus) (map[string]peerStatus, bool) {
		status := peers[address]
		if status.busy {
			return peers, false
		}
		status.busy = true
		return withPeer(peers, address, status), true
	})
	return begun
}

// endExchange stores the status of an address after an exchange.
func (syncer *Syncer) endExchange(address string, status peerStatus) {
	syncer.peers.Update(func(peers map[string]peerStatus) map[string]peerStatus { return withPeer(peers, address, status) })
}

// withPeer returns a copy of peers with a new status of address. The zero status removes the address.
func withPeer(peers map[string]peerStatus, address string, status peerStatus) map[string]peerStatus {
	next := maps.Clone(peers)
	if status == (peerStatus{}) {
		delete(next, address)
	} else {
		next[address] = status
	}
	return next
}

// exchangeWith sends a message to one peer and merges its reply. A peer that does not answer is
// skipped for avoidDuration.
func (syncer *Syncer) exchangeWith(ctx context.Context, target cluster.Target, content messageContent) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	shared := syncer.shared
	requestedAt := shared.clock.Now()
	message := syncer.stateMessage(target, content)
	reply, err := syncer.client.Exchange(ctx, target.Address, message)
	if err != nil {
		syncer.endExchange(target.Address, peerStatus{avoidUntil: shared.clock.Now() + avoidDuration})
		return
	}
	syncer.endExchange(target.Address, peerStatus{memberDigest: reply.MemberDigest})
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
	// The peer computed the ages after the request was sent. Subtracted from the time before the
	// request, they yield lower bounds of the times at which the contents were the latest. Errors
	// are ignored, since the peer has already decoded the contents.
	if reply.Routes.Revision > 0 && (reply.Routes.Content != nil || reply.Routes.Digest == message.Routes.Digest) {
		_ = shared.MergeRoutes(reply.Routes.Revision, requestedAt-reply.Routes.Age, reply.Routes.Content)
	}
	if reply.Servers.Revision > 0 && (reply.Servers.Content != nil || reply.Servers.Digest == message.Servers.Digest) {
		_ = shared.MergeServers(reply.Servers.Revision, requestedAt-reply.Servers.Age, reply.Servers.Content)
	}
}

// isReachable reports whether no exchange with an address failed within the last avoidDuration.
func (syncer *Syncer) isReachable(address string, now time.Duration) bool {
	return now >= syncer.peers.Load()[address].avoidUntil
}

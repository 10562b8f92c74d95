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
	// exchangeInterval is the time between exchanges. Limits over all entries are as
	// exact as the counts of the others are fresh.
	exchangeInterval = 250 * time.Millisecond
	// calmInterval is the time between exchanges among more than fewEntries, where a
	// relay has to answer many, and slowInterval that among more than manyEntries, where
	// each answer is long.
	calmInterval = 500 * time.Millisecond
	slowInterval = time.Second
	fewEntries   = 12
	manyEntries  = 150
	// exchangeTimeout is short, since a peer that does not answer is passed over.
	exchangeTimeout = 600 * time.Millisecond
	// avoidTime is how long a peer that did not answer is passed over.
	avoidTime = time.Second
	// newsDelay gathers changes that come together before they are passed on.
	newsDelay = 10 * time.Millisecond
	// probeRounds is how many rounds there are to one that also asks an entry at random.
	probeRounds = 8
	// usageRounds is how many rounds there are to one that tells what the entry counted, and
	// holderRounds to one that passes on to the holder of the duty what others counted.
	usageRounds  = 2
	holderRounds = 4
	// usageWindows is how many windows of usage are told.
	usageWindows = 3
	// youngerBy is the difference in age from which a peer is asked for its reading of the store.
	youngerBy = 300 * time.Millisecond
)

// LocalEntry knows what the entry does.
type LocalEntry interface {
	// FillState changes the entry's own record before it is stated.
	FillState(record cluster.EntryState) cluster.EntryState
	// Usage returns what the entry counted.
	Usage() usage.Counts
	// HandlePeerState takes what a peer states of itself.
	HandlePeerState(record cluster.EntryState)
	// HandleClusterUpdate is told that more is known of the other entries.
	HandleClusterUpdate()
}

// Seeds gives addresses at which entries may be found.
type Seeds interface {
	Seeds() []string
}

// Syncer tells peers what the entry knows, and learns what they know.
type Syncer struct {
	knowledge *SharedState
	exchanger PeerClient
	reporter  LocalEntry
	seeds     Seeds
	peers     *rcu.Cell[map[string]peer]
	// fresher is the address of an entry that stated a younger reading of the store, empty for none.
	fresher *rcu.Cell[string]
	calls   sync.WaitGroup
	rounds  int
	// holder is the incarnation that held the duty at the last round.
	holder string
	// pushed is the digest of the configuration that was pushed last, and storeOut whether the
	// store was out of reach then.
	pushed   uint64
	storeOut bool
}

// peer is what is known of the exchanges with an address.
type peer struct {
	// busy tells that an exchange is in progress.
	busy bool
	// avoidUntil is until when the peer is passed over, after it did not answer.
	avoidUntil time.Duration
	// roster is the digest of the members of the own group that the peer knows.
	roster uint64
}

// NewSyncer returns an exchange that finds its first peers at seeds.
func NewSyncer(knowledge *SharedState, exchanger PeerClient, reporter LocalEntry, seeds Seeds) *Syncer {
	return &Syncer{knowledge: knowledge, exchanger: exchanger, reporter: reporter, seeds: seeds, peers: rcu.New(map[string]peer{}), fresher: rcu.New("")}
}

// Run exchanges until the context ends.
func (syncer *Syncer) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer syncer.calls.Wait()
	news := false
	for {
		syncer.round(ctx, news)
		news = false
		timer.Reset(interval(syncer.knowledge.Fleet()))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-syncer.knowledge.changed:
			// News are pushed on at once, so that they reach all entries in a few steps.
			news = true
			if pause.For(ctx, newsDelay) != nil {
				return nil
			}
		}
	}
}

// interval returns the time between exchanges in a fleet.
func interval(fleet cluster.Fleet) time.Duration {
	switch count := len(fleet.Alive()); {
	case count <= fewEntries:
		return exchangeInterval
	case count <= manyEntries:
		return calmInterval
	}
	return slowInterval
}

// Answer joins a peer's statement and returns what the peer lacks.
func (syncer *Syncer) Answer(statement StateMessage) Reply {
	knowledge, sender := syncer.knowledge, statement.Sender
	// The delay of the message is unknown, so that its ages say nothing here, but an
	// answer of the sender would.
	if statement.Routes.Revision > 0 && (statement.Routes.Age+youngerBy < knowledge.RoutesAge() || statement.Servers.Age+youngerBy < knowledge.ServersAge()) {
		syncer.fresher.Store(sender.Address)
		knowledge.notify()
	}
	syncer.take(statement.Routes, 0, knowledge.MergeRoutes)
	syncer.take(statement.Servers, 0, knowledge.MergeServers)
	knowledge.learn(func(state cluster.State, now time.Duration) cluster.State {
		if statement.IsHeartbeat {
			state = state.WithHeartbeat(sender, now)
		}
		// Other entries learn the numbers of this group from their relay, and would count them twice.
		if statement.IsHeartbeat || knowledge.Fleet().IsAggregator() {
			state = withGroups(state, statement.Aggregates, now)
		}
		return state.WithMemberLists(statement.MemberLists, now).WithUsage(statement.Usage, now)
	})
	knowledge.takeClock(sender)
	syncer.heard(sender)
	return syncer.reply(statement)
}

// reply returns what the sender of a statement lacks.
func (syncer *Syncer) reply(statement StateMessage) Reply {
	knowledge, relay := syncer.knowledge, syncer.knowledge.Fleet().IsAggregator()
	state, now := knowledge.Cluster(), knowledge.clock.Now()
	reply := Reply{
		Replier:      state.Self(),
		Aggregates:   state.Aggregates(relay),
		MemberDigest: knownRoster(state, statement.Aggregates),
		Routes:       holding(knowledge, knowledge.routes, statement.Routes),
		Servers:      holding(knowledge, knowledge.listing, statement.Servers),
	}
	// The numbers of the replier are in the groups.
	reply.Replier.Admitted, reply.Replier.Running, reply.Replier.Demand = nil, nil, nil
	reply.Replier.Clock = knowledge.WallTime().Round(0)
	switch {
	case statement.IsHeartbeat:
		reply.Aggregates = state.AggregatesFor(statement.Sender.Name, now)
	case len(statement.Aggregates) == 0 || !relay:
		// The sender may be in a part of the fleet that knows other relays.
		reply.MemberLists = []cluster.MemberList{state.MemberList(now)}
	}
	for i, group := range reply.Aggregates {
		if slices.Contains(statement.MemberDigests, cluster.MemberDigest{ID: group.ID, Digest: group.MemberDigest}) {
			reply.Aggregates[i] = group.WithoutMembers()
		}
	}
	return reply
}

// knownRoster returns the digest of the members that are known of the sender's own group.
func knownRoster(state cluster.State, groups []cluster.Aggregate) uint64 {
	if len(groups) == 0 {
		return 0
	}
	return state.MemberDigestOf(groups[0].ID)
}

// withGroups joins groups that their senders made themselves.
func withGroups(state cluster.State, groups []cluster.Aggregate, now time.Duration) cluster.State {
	for _, group := range groups {
		state = state.WithAggregate(group, now)
	}
	return state
}

// take joins the content of a peer's holding, which the peer has decoded already.
func (syncer *Syncer) take(holding CachedRead, newestAt time.Duration, take takeFunc) {
	if holding.Revision > 0 && holding.Content != nil {
		_ = take(holding.Revision, newestAt, holding.Content)
	}
}

// heard takes what a peer states of itself.
func (syncer *Syncer) heard(record cluster.EntryState) {
	for id, born := range record.Leaving {
		syncer.knowledge.MarkLeaving(id, born)
	}
	syncer.reporter.HandlePeerState(record)
}

// round begins the exchanges of one round; news are pushed whole.
func (syncer *Syncer) round(ctx context.Context, news bool) {
	syncer.knowledge.learn(cluster.State.WithTime)
	syncer.reporter.HandleClusterUpdate()
	syncer.knowledge.UpdateSelf(func(record cluster.EntryState) cluster.EntryState {
		record = syncer.reporter.FillState(record)
		record.Clock = time.Now().Round(0)
		record.StoreUnreachable = syncer.knowledge.failing.Load() > 0
		return record
	})
	syncer.rounds++
	state, now := syncer.knowledge.Cluster(), syncer.knowledge.clock.Now()
	fleet := state.Fleet(now)
	syncer.knowledge.fleet.Store(fleet)
	extent := extent{contents: news, usage: syncer.rounds%usageRounds == 0, others: syncer.rounds%holderRounds == 0 || syncer.newHolder(fleet)}
	for _, target := range syncer.targets(state, fleet, now, news) {
		if syncer.begin(target.Address) {
			syncer.calls.Go(func() { syncer.with(ctx, target, extent) })
		}
	}
}

// targets returns the entries to exchange with in a round.
func (syncer *Syncer) targets(state cluster.State, fleet cluster.Fleet, now time.Duration, news bool) []cluster.Target {
	targets := fleet.Targets(func(address string) bool { return syncer.reached(address, now) })
	if news && syncer.pushes(fleet) {
		for _, reporter := range state.Reporters() {
			targets = append(targets, cluster.Target{Address: reporter.Address})
		}
	}
	targets = append(targets, syncer.probes(fleet, now)...)
	if fresher := syncer.fresher.Load(); fresher != "" {
		syncer.fresher.Store("")
		targets = append(targets, cluster.Target{Address: fresher})
	}
	return targets
}

// newHolder reports whether another entry holds the duty than at the last round.
func (syncer *Syncer) newHolder(fleet cluster.Fleet) bool {
	holder, _ := fleet.Leader()
	changed := holder.ID() != syncer.holder
	syncer.holder = holder.ID()
	return changed
}

// pushes reports whether news are pushed to all that report, which costs an exchange with each.
//
// Among many entries, this is done for a new configuration only, and for the news that the
// entry does not reach the store, so that another one reads it.
func (syncer *Syncer) pushes(fleet cluster.Fleet) bool {
	digest, storeOut := syncer.knowledge.routes.Load().Value.Digest, syncer.knowledge.failing.Load() > 0
	changed := digest != syncer.pushed || storeOut != syncer.storeOut
	syncer.pushed, syncer.storeOut = digest, storeOut
	return changed || len(fleet.Alive()) <= fewEntries
}

// begin notes that an exchange with an address is in progress, unless there is one.
func (syncer *Syncer) begin(address string) bool {
	_, begun := rcu.Apply(syncer.peers, func(peers map[string]peer) (map[string]peer, bool) {
		known := peers[address]
		if known.busy {
			return peers, false
		}
		known.busy = true
		return withPeer(peers, address, known), true
	})
	return begun
}

// end notes how an exchange with an address ended.
func (syncer *Syncer) end(address string, ended peer) {
	syncer.peers.Update(func(peers map[string]peer) map[string]peer { return withPeer(peers, address, ended) })
}

func withPeer(peers map[string]peer, address string, known peer) map[string]peer {
	next := maps.Clone(peers)
	if known == (peer{}) {
		delete(next, address)
	} else {
		next[address] = known
	}
	return next
}

// with exchanges with one peer; one that does not answer is passed over for a while.
func (syncer *Syncer) with(ctx context.Context, target cluster.Target, extent extent) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	knowledge := syncer.knowledge
	asked := knowledge.clock.Now()
	statement := syncer.statement(target, extent)
	reply, err := syncer.exchanger.Exchange(ctx, target.Address, statement)
	if err != nil {
		syncer.end(target.Address, peer{avoidUntil: knowledge.clock.Now() + avoidTime})
		return
	}
	syncer.end(target.Address, peer{roster: reply.MemberDigest})
	syncer.heard(reply.Replier)
	knowledge.learn(func(state cluster.State, now time.Duration) cluster.State {
		if target.SendHeartbeat {
			return state.WithAggregatorReply(reply.Aggregates, now)
		}
		if knowledge.Fleet().IsAggregator() {
			state = withGroups(state, reply.Aggregates, now)
		}
		return state.WithMemberLists(reply.MemberLists, now)
	})
	if target.SendHeartbeat {
		knowledge.takeGuide(reply.Replier)
	}
	// Ages count from before the question, since the answer was given after it.
	if reply.Routes.Revision > 0 && (reply.Routes.Content != nil || reply.Routes.Digest == statement.Routes.Digest) {
		_ = knowledge.MergeRoutes(reply.Routes.Revision, asked-reply.Routes.Age, reply.Routes.Content) // The peer decoded it already.
	}
	if reply.Servers.Revision > 0 && (reply.Servers.Content != nil || reply.Servers.Digest == statement.Servers.Digest) {
		_ = knowledge.MergeServers(reply.Servers.Revision, asked-reply.Servers.Age, reply.Servers.Content) // As above.
	}
}

// reached reports whether an address is not to be passed over.
func (syncer *Syncer) reached(address string, now time.Duration) bool {
	return now >= syncer.peers.Load()[address].avoidUntil
}

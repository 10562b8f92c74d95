package share

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

const (
	// exchangeInterval is the time between exchanges. Limits over all entries are as
	// exact as the counts of the others are fresh.
	exchangeInterval = 250 * time.Millisecond
	// mediumInterval is the time between exchanges among more than fewEntries, where a
	// relay has to answer many, and slowInterval that among more than manyEntries, where
	// each answer is long.
	mediumInterval = 500 * time.Millisecond
	slowInterval = time.Second
	fewEntries   = 12
	manyEntries  = 150
	// exchangeTimeout is short, since a peer that does not answer is passed over.
	exchangeTimeout = 600 * time.Millisecond
	// avoidDuration is how long a peer that did not answer is passed over.
	avoidDuration = time.Second
	// updateDelay gathers changes that come together before they are passed on.
	updateDelay = 10 * time.Millisecond
	// probeEvery is how many rounds there are to one that also asks an entry at random.
	probeEvery = 8
	// usageEvery is how many rounds there are to one that tells what the entry counted, and
	// holderRounds to one that passes on to the holder of the duty what others counted.
	usageEvery  = 2
	forwardUsageEvery = 4
	// usageWindows is how many windows of usage are told.
	usageWindows = 3
	// minAgeAdvantage is the difference in age from which a peer is asked for its reading of the store.
	minAgeAdvantage = 300 * time.Millisecond
)

// Reporter knows what the entry does.
type Reporter interface {
	// Report changes the entry's own record before it is stated.
	Report(record neighbour.Record) neighbour.Record
	// Usage returns what the entry counted.
	Usage() usage.Counts
	// Heard takes what a peer states of itself.
	Heard(record neighbour.Record)
	// Learned is told that more is known of the other entries.
	Learned()
}

// Seeds gives addresses at which entries may be found.
type Seeds interface {
	Seeds() []string
}

// Exchange tells peers what the entry knows, and learns what they know.
type Exchange struct {
	knowledge *Knowledge
	exchanger Exchanger
	reporter  Reporter
	seeds     Seeds
	peers     *rcu.Cell[map[string]peerStatus]
	// newerPeer is the address of an entry that stated a younger reading of the store, empty for none.
	newerPeer *rcu.Cell[string]
	calls   sync.WaitGroup
	rounds  int
	// lastLeader is the incarnation that held the duty at the last round.
	lastLeader string
	// pushedDigest is the digest of the configuration that was pushed last, and storeOut whether the
	// store was out of reach then.
	pushedDigest   uint64
	pushedStoreOut bool
}

// peerStatus is what is known of the exchanges with an address.
type peerStatus struct {
	// busy tells that an exchange is in progress.
	busy bool
	// avoidUntil is until when the peer is passed over, after it did not answer.
	avoidUntil time.Duration
	// memberDigest is the digest of the members of the own group that the peer knows.
	memberDigest uint64
}

// NewExchange returns an exchange that finds its first peers at seeds.
func NewExchange(knowledge *Knowledge, exchanger Exchanger, reporter Reporter, seeds Seeds) *Exchange {
	return &Exchange{knowledge: knowledge, exchanger: exchanger, reporter: reporter, seeds: seeds, peers: rcu.New(map[string]peerStatus{}), newerPeer: rcu.New("")}
}

// Run exchanges until the context ends.
func (exchange *Exchange) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer exchange.calls.Wait()
	news := false
	for {
		exchange.round(ctx, news)
		news = false
		timer.Reset(interval(exchange.knowledge.Fleet()))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-exchange.knowledge.changed:
			// News are pushed on at once, so that they reach all entries in a few steps.
			news = true
			if pause.For(ctx, updateDelay) != nil {
				return nil
			}
		}
	}
}

// interval returns the time between exchanges in a fleet.
func interval(fleet neighbour.Fleet) time.Duration {
	switch count := len(fleet.Alive()); {
	case count <= fewEntries:
		return exchangeInterval
	case count <= manyEntries:
		return mediumInterval
	}
	return slowInterval
}

// Answer joins a peer's statement and returns what the peer lacks.
func (exchange *Exchange) Answer(statement Statement) Reply {
	knowledge, sender := exchange.knowledge, statement.Sender
	// The delay of the message is unknown, so that its ages say nothing here, but an
	// answer of the sender would.
	if statement.Routes.Revision > 0 && (statement.Routes.Age+minAgeAdvantage < knowledge.Age() || statement.Servers.Age+minAgeAdvantage < knowledge.ServersAge()) {
		exchange.newerPeer.Store(sender.Address)
		knowledge.notify()
	}
	exchange.mergeRead(statement.Routes, 0, knowledge.TakeRoutes)
	exchange.mergeRead(statement.Servers, 0, knowledge.TakeServers)
	knowledge.updateCluster(func(state neighbour.State, now time.Duration) neighbour.State {
		if statement.Reports {
			state = state.WithReport(sender, now)
		}
		// Other entries learn the numbers of this group from their relay, and would count them twice.
		if statement.Reports || knowledge.Fleet().IsRelay() {
			state = withAggregates(state, statement.Groups, now)
		}
		return state.WithRolls(statement.Rolls, now).WithUsage(statement.Usage, now)
	})
	knowledge.addClockSample(sender)
	exchange.receiveState(sender)
	return exchange.reply(statement)
}

// reply returns what the sender of a statement lacks.
func (exchange *Exchange) reply(statement Statement) Reply {
	knowledge, relay := exchange.knowledge, exchange.knowledge.Fleet().IsRelay()
	state, now := knowledge.Neighbours(), knowledge.clock.Now()
	reply := Reply{
		Replier: state.Self(),
		Groups:  state.Sums(relay),
		Roster:  memberDigestOf(state, statement.Groups),
		Routes:  cachedReadFor(knowledge, knowledge.routes, statement.Routes),
		Servers: cachedReadFor(knowledge, knowledge.serverList, statement.Servers),
	}
	// The numbers of the replier are in the groups.
	reply.Replier.Admitted, reply.Replier.Running, reply.Replier.Demand = nil, nil, nil
	reply.Replier.Clock = knowledge.Wall().Round(0)
	switch {
	case statement.Reports:
		reply.Groups = state.RestFor(statement.Sender.Name, now)
	case len(statement.Groups) == 0 || !relay:
		// The sender may be in a part of the fleet that knows other relays.
		reply.Rolls = []neighbour.Roll{state.Roll(now)}
	}
	for i, group := range reply.Groups {
		if slices.Contains(statement.Rosters, neighbour.Roster{ID: group.ID, Digest: group.Roster}) {
			reply.Groups[i] = group.WithoutMembers()
		}
	}
	return reply
}

// memberDigestOf returns the digest of the members that are known of the sender's own group.
func memberDigestOf(state neighbour.State, groups []neighbour.Group) uint64 {
	if len(groups) == 0 {
		return 0
	}
	return state.RosterOf(groups[0].ID)
}

// withAggregates joins groups that their senders made themselves.
func withAggregates(state neighbour.State, groups []neighbour.Group, now time.Duration) neighbour.State {
	for _, group := range groups {
		state = state.WithGroup(group, now)
	}
	return state
}

// mergeRead joins the content of a peer's holding, which the peer has decoded already.
func (exchange *Exchange) mergeRead(holding Holding, newestAt time.Duration, take mergeFunc) {
	if holding.Revision > 0 && holding.Content != nil {
		_ = take(holding.Revision, newestAt, holding.Content)
	}
}

// receiveState takes what a peer states of itself.
func (exchange *Exchange) receiveState(record neighbour.Record) {
	for id, born := range record.Leaving {
		exchange.knowledge.Left(id, born)
	}
	exchange.reporter.Heard(record)
}

// round begins the exchanges of one round; news are pushed whole.
func (exchange *Exchange) round(ctx context.Context, news bool) {
	exchange.knowledge.updateCluster(neighbour.State.WithTime)
	exchange.reporter.Learned()
	exchange.knowledge.State(func(record neighbour.Record) neighbour.Record {
		record = exchange.reporter.Report(record)
		record.Clock = time.Now().Round(0)
		record.StoreOut = exchange.knowledge.failingParts.Load() > 0
		return record
	})
	exchange.rounds++
	state, now := exchange.knowledge.Neighbours(), exchange.knowledge.clock.Now()
	fleet := state.Fleet(now)
	exchange.knowledge.fleet.Store(fleet)
	extent := messageContent{storeContent: news, usage: exchange.rounds%usageEvery == 0, peerUsage: exchange.rounds%forwardUsageEvery == 0 || exchange.leaderChanged(fleet)}
	for _, target := range exchange.targets(state, fleet, now, news) {
		if exchange.begin(target.Address) {
			exchange.calls.Go(func() { exchange.exchangeWith(ctx, target, extent) })
		}
	}
}

// targets returns the entries to exchange with in a round.
func (exchange *Exchange) targets(state neighbour.State, fleet neighbour.Fleet, now time.Duration, news bool) []neighbour.Target {
	targets := fleet.Targets(func(address string) bool { return exchange.isReachable(address, now) })
	if news && exchange.pushesToReporters(fleet) {
		for _, reporter := range state.Reporters() {
			targets = append(targets, neighbour.Target{Address: reporter.Address})
		}
	}
	targets = append(targets, exchange.probes(fleet, now)...)
	if fresher := exchange.newerPeer.Load(); fresher != "" {
		exchange.newerPeer.Store("")
		targets = append(targets, neighbour.Target{Address: fresher})
	}
	return targets
}

// leaderChanged reports whether another entry holds the duty than at the last round.
func (exchange *Exchange) leaderChanged(fleet neighbour.Fleet) bool {
	holder, _ := fleet.Holder()
	changed := holder.ID() != exchange.lastLeader
	exchange.lastLeader = holder.ID()
	return changed
}

// pushesToReporters reports whether news are pushed to all that report, which costs an exchange with each.
//
// Among many entries, this is done for a new configuration only, and for the news that the
// entry does not reach the store, so that another one reads it.
func (exchange *Exchange) pushesToReporters(fleet neighbour.Fleet) bool {
	digest, storeOut := exchange.knowledge.routes.Load().Value.Digest, exchange.knowledge.failingParts.Load() > 0
	changed := digest != exchange.pushedDigest || storeOut != exchange.pushedStoreOut
	exchange.pushedDigest, exchange.pushedStoreOut = digest, storeOut
	return changed || len(fleet.Alive()) <= fewEntries
}

// begin notes that an exchange with an address is in progress, unless there is one.
func (exchange *Exchange) begin(address string) bool {
	_, begun := rcu.Apply(exchange.peers, func(peers map[string]peerStatus) (map[string]peerStatus, bool) {
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
func (exchange *Exchange) end(address string, ended peerStatus) {
	exchange.peers.Update(func(peers map[string]peerStatus) map[string]peerStatus { return withPeer(peers, address, ended) })
}

func withPeer(peers map[string]peerStatus, address string, known peerStatus) map[string]peerStatus {
	next := maps.Clone(peers)
	if known == (peerStatus{}) {
		delete(next, address)
	} else {
		next[address] = known
	}
	return next
}

// exchangeWith exchanges with one peer; one that does not answer is passed over for a while.
func (exchange *Exchange) exchangeWith(ctx context.Context, target neighbour.Target, extent messageContent) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	knowledge := exchange.knowledge
	asked := knowledge.clock.Now()
	statement := exchange.stateMessage(target, extent)
	reply, err := exchange.exchanger.Exchange(ctx, target.Address, statement)
	if err != nil {
		exchange.end(target.Address, peerStatus{avoidUntil: knowledge.clock.Now() + avoidDuration})
		return
	}
	exchange.end(target.Address, peerStatus{memberDigest: reply.Roster})
	exchange.receiveState(reply.Replier)
	knowledge.updateCluster(func(state neighbour.State, now time.Duration) neighbour.State {
		if target.Reports {
			return state.WithRest(reply.Groups, now)
		}
		if knowledge.Fleet().IsRelay() {
			state = withAggregates(state, reply.Groups, now)
		}
		return state.WithRolls(reply.Rolls, now)
	})
	if target.Reports {
		knowledge.setClockGuide(reply.Replier)
	}
	// Ages count from before the question, since the answer was given after it.
	if reply.Routes.Revision > 0 && (reply.Routes.Content != nil || reply.Routes.Digest == statement.Routes.Digest) {
		_ = knowledge.TakeRoutes(reply.Routes.Revision, asked-reply.Routes.Age, reply.Routes.Content) // The peer decoded it already.
	}
	if reply.Servers.Revision > 0 && (reply.Servers.Content != nil || reply.Servers.Digest == statement.Servers.Digest) {
		_ = knowledge.TakeServers(reply.Servers.Revision, asked-reply.Servers.Age, reply.Servers.Content) // As above.
	}
}

// isReachable reports whether an address is not to be passed over.
func (exchange *Exchange) isReachable(address string, now time.Duration) bool {
	return now >= exchange.peers.Load()[address].avoidUntil
}

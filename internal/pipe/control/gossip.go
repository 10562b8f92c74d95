package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// Exchanger passes offers to peers.
type Exchanger interface {
	Exchange(ctx context.Context, peer membership.Member, offer membership.Offer) (membership.Reply, error)
}

// Reporter tells what this entry states again at each refresh, such as its load.
type Reporter interface {
	Report(now time.Time) []membership.Item
}

// Gossip exchanges an entry's state with a few random peers each second.
type Gossip struct {
	cell      *rcu.Cell[membership.State]
	exchanger Exchanger
	reporter  Reporter
	random    membership.Random
	// wake tells that there is urgent news.
	wake chan struct{}
}

const (
	// meanRoundInterval is the mean time between exchanges.
	meanRoundInterval = time.Second
	// roundJitter keeps entries that started together from sending together; the
	// round varies by this much each way, in steps. The steps let tests in virtual
	// time run the entries whose rounds fall together on several threads.
	roundJitter     = 200 * time.Millisecond
	roundJitterStep = 20 * time.Millisecond
	// urgentPeers is how many peers get urgent news in addition to the one full
	// exchange. A full exchange with three peers would cost 3 times 4.6 KB for
	// the digest alone at 420 entries.
	urgentPeers = 2
	// urgentDelay is the time between the arrival of urgent news and sending it on.
	// It gathers news that arrive together, such as those of a whole failure domain.
	urgentDelay = 200 * time.Millisecond
	// unreachableRetryRounds is the number of rounds between tries to reach an entry that
	// seems gone. Each of 420 entries tries, so a healed partition is found in
	// the first second.
	unreachableRetryRounds = 5
)

// NewGossip returns a stage that keeps the state in cell.
//
// Random is used by one thread only.
func NewGossip(cell *rcu.Cell[membership.State], exchanger Exchanger, reporter Reporter, random membership.Random) *Gossip {
	return &Gossip{cell: cell, exchanger: exchanger, reporter: reporter, random: random, wake: make(chan struct{}, 1)}
}

// Answer joins a peer's offer and returns what the peer lacks.
func (gossip *Gossip) Answer(offer membership.Offer) membership.Reply {
	now := time.Now()
	state, reply := rcu.Apply(gossip.cell, func(state membership.State) (membership.State, membership.Reply) {
		return state.WithOffer(offer, now)
	})
	gossip.wakeIfUrgent(state)
	return reply
}

// Update changes the state and has urgent news sent ahead without waiting for the next round.
func (gossip *Gossip) Update(change func(membership.State) membership.State) {
	gossip.wakeIfUrgent(gossip.cell.Update(change))
}

// Run exchanges state until ctx ends.
func (gossip *Gossip) Run(ctx context.Context) error {
	// Entries that start together first report at different points of the interval.
	due := time.Now().Add(time.Duration(gossip.random.IntN(int(gossip.nextReportInterval()))))
	for count := 0; ; count++ {
		timer := time.NewTimer(gossip.nextRoundInterval())
		if now := time.Now(); !now.Before(due) {
			due = now.Add(gossip.nextReportInterval())
			report := gossip.reporter.Report(now)
			gossip.cell.Update(func(state membership.State) membership.State { return state.WithPut(report...) })
		}
		gossip.runRound(ctx, count%unreachableRetryRounds == unreachableRetryRounds-1)
		if !gossip.waitForRound(ctx, timer) {
			return nil
		}
	}
}

// waitForRound sends urgent news ahead until timer ends the round, and returns false when ctx ended.
func (gossip *Gossip) waitForRound(ctx context.Context, timer *time.Timer) bool {
	defer timer.Stop()
	var ahead <-chan time.Time
	for {
		select {
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		case <-gossip.wake:
			if ahead == nil {
				ahead = time.After(urgentDelay)
			}
		case <-ahead:
			ahead = nil
			if gossip.sendUrgent(ctx) {
				ahead = time.After(urgentDelay)
			}
		}
	}
}

// sendUrgent sends urgent news to a few peers, apart from the rounds, and returns false when there was none.
func (gossip *Gossip) sendUrgent(ctx context.Context) bool {
	state := gossip.cell.Load()
	rumours, urgent := state.UrgentOffer()
	if !urgent {
		return false
	}
	var exchanges errgroup.Group
	for _, peer := range membership.RandomPeers(state.View(), state.Self().Name, gossip.random, urgentPeers) {
		exchanges.Go(func() error { return gossip.exchange(ctx, peer, rumours) })
	}
	gossip.cell.Update(membership.State.WithRound)
	_ = exchanges.Wait() // As in a round.
	return true
}

// wakeIfUrgent wakes the thread that sends news ahead, unless it is awake already.
func (gossip *Gossip) wakeIfUrgent(state membership.State) {
	if !state.HasUnsentUpdates() {
		return
	}
	select {
	case gossip.wake <- struct{}{}:
	default:
	}
}

// runRound runs the exchanges of one round at the same time.
func (gossip *Gossip) runRound(ctx context.Context, reachLost bool) {
	now := time.Now()
	state := gossip.cell.Update(func(state membership.State) membership.State { return state.WithTick(now) })
	peers := membership.RandomPeers(state.View(), state.Self().Name, gossip.random, 1+urgentPeers)
	rumours, urgent := state.UrgentOffer()
	var exchanges errgroup.Group
	for i, peer := range peers {
		if i == 0 {
			exchanges.Go(func() error { return gossip.exchange(ctx, peer, state.Offer()) })
		} else if urgent {
			exchanges.Go(func() error { return gossip.exchange(ctx, peer, rumours) })
		}
	}
	if lost, ok := membership.RandomUnreachable(state.View(), gossip.random); ok && reachLost {
		exchanges.Go(func() error { return gossip.exchange(ctx, lost, state.Offer()) })
	}
	gossip.cell.Update(membership.State.WithRound)
	_ = exchanges.Wait() // Each failure is in the state already, as a doubt about the peer.
}

// exchange passes an offer to a peer, joins the reply and hands over what the peer wants.
func (gossip *Gossip) exchange(ctx context.Context, peer membership.Member, offer membership.Offer) error {
	reply, err := gossip.exchanger.Exchange(ctx, peer, offer)
	now := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			gossip.Update(func(state membership.State) membership.State { return state.WithUnreachable(peer.Name, now) })
		}
		return err
	}
	state, rest := rcu.Apply(gossip.cell, func(state membership.State) (membership.State, membership.Offer) {
		return state.WithReply(reply, now)
	})
	gossip.wakeIfUrgent(state)
	if len(rest.Deltas) == 0 {
		return nil
	}
	_, err = gossip.exchanger.Exchange(ctx, peer, rest)
	return err
}

// nextReportInterval returns the time until the next report, spread by a quarter each way.
func (gossip *Gossip) nextReportInterval() time.Duration {
	mean := membership.RefreshInterval(len(gossip.cell.Load().View().Live()))
	return mean*3/4 + time.Duration(gossip.random.IntN(int(mean/2)))
}

func (gossip *Gossip) nextRoundInterval() time.Duration {
	return meanRoundInterval - roundJitter + roundJitterStep*time.Duration(gossip.random.IntN(int(2*roundJitter/roundJitterStep)))
}

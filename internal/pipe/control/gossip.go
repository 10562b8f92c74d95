package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// Exchanger sends offers of membership state to peers.
type Exchanger interface {
	// Exchange sends an offer to a peer and returns its reply.
	Exchange(ctx context.Context, peer membership.Member, offer membership.Offer) (membership.Reply, error)
}

// Reporter provides the items that this entry publishes anew in each report, such as its load.
type Reporter interface {
	// Report returns the items as of now.
	Report(now time.Time) []membership.Item
}

// Gossip exchanges this entry's membership state with random peers about once a second.
type Gossip struct {
	cell      *rcu.Cell[membership.State]
	exchanger Exchanger
	reporter  Reporter
	random    membership.Random
	// wake receives a value when there are unsent urgent updates.
	wake chan struct{}
}

const (
	// meanRoundInterval is the mean time between the starts of two rounds.
	meanRoundInterval = time.Second
	// roundJitter is the largest deviation from meanRoundInterval, either way. It keeps
	// entries that started together from sending together. The interval varies in
	// steps of roundJitterStep, so that rounds of several entries coincide in tests in
	// virtual time, which can then run them on several threads.
	roundJitter     = 200 * time.Millisecond
	roundJitterStep = 20 * time.Millisecond
	// urgentPeers is the number of peers that receive urgent updates in addition to the
	// peer of the full exchange. Full exchanges with three peers would cost 3 times
	// 4.6 KB for the digest alone at 420 entries.
	urgentPeers = 2
	// urgentDelay is the time between the arrival of an urgent update and sending it on.
	// It batches updates that arrive together, such as those of a whole failure domain.
	urgentDelay = 200 * time.Millisecond
	// unreachableRetryRounds is the number of rounds between attempts to reach an entry
	// that is suspect or gone. Each of 420 entries makes such attempts, so the end of a
	// partition is detected within a second.
	unreachableRetryRounds = 5
)

// NewGossip returns a gossip that exchanges the state in cell.
//
// It uses random from one goroutine only.
func NewGossip(cell *rcu.Cell[membership.State], exchanger Exchanger, reporter Reporter, random membership.Random) *Gossip {
	return &Gossip{cell: cell, exchanger: exchanger, reporter: reporter, random: random, wake: make(chan struct{}, 1)}
}

// Answer merges a peer's offer into the state and returns the reply, with the items that the peer lacks.
func (gossip *Gossip) Answer(offer membership.Offer) membership.Reply {
	now := time.Now()
	state, reply := rcu.Apply(gossip.cell, func(state membership.State) (membership.State, membership.Reply) {
		return state.WithOffer(offer, now)
	})
	gossip.wakeIfUrgent(state)
	return reply
}

// Update changes the state. Urgent updates that result are sent without waiting for the next round.
func (gossip *Gossip) Update(change func(membership.State) membership.State) {
	gossip.wakeIfUrgent(gossip.cell.Update(change))
}

// Run exchanges state until ctx ends.
func (gossip *Gossip) Run(ctx context.Context) error {
	// Entries that start together send their first reports at different points of the interval.
	reportDue := time.Now().Add(time.Duration(gossip.random.IntN(int(gossip.nextReportInterval()))))
	for round := 0; ; round++ {
		timer := time.NewTimer(gossip.nextRoundInterval())
		if now := time.Now(); !now.Before(reportDue) {
			reportDue = now.Add(gossip.nextReportInterval())
			report := gossip.reporter.Report(now)
			gossip.cell.Update(func(state membership.State) membership.State { return state.WithPublished(report...) })
		}
		gossip.runRound(ctx, round%unreachableRetryRounds == unreachableRetryRounds-1)
		if !gossip.waitForRound(ctx, timer) {
			return nil
		}
	}
}

// waitForRound sends urgent updates until timer fires, which ends the round; it returns false if ctx ended.
func (gossip *Gossip) waitForRound(ctx context.Context, timer *time.Timer) bool {
	defer timer.Stop()
	var urgentTimer <-chan time.Time
	for {
		select {
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		case <-gossip.wake:
			if urgentTimer == nil {
				urgentTimer = time.After(urgentDelay)
			}
		case <-urgentTimer:
			urgentTimer = nil
			if gossip.sendUrgent(ctx) {
				urgentTimer = time.After(urgentDelay)
			}
		}
	}
}

// sendUrgent sends urgent updates to a few peers between two rounds; it returns false if there were none.
func (gossip *Gossip) sendUrgent(ctx context.Context) bool {
	state := gossip.cell.Load()
	urgentOffer, hasUrgent := state.UrgentOffer()
	if !hasUrgent {
		return false
	}
	var exchanges errgroup.Group
	for _, peer := range membership.RandomPeers(state.View(), state.Self().Name, gossip.random, urgentPeers) {
		exchanges.Go(func() error { return gossip.exchange(ctx, peer, urgentOffer) })
	}
	gossip.cell.Update(membership.State.WithRound)
	_ = exchanges.Wait() // As in runRound, each failure is already recorded in the state.
	return true
}

// wakeIfUrgent wakes the goroutine in waitForRound if there are unsent urgent updates.
func (gossip *Gossip) wakeIfUrgent(state membership.State) {
	if !state.HasUnsentUpdates() {
		return
	}
	select {
	case gossip.wake <- struct{}{}:
	default:
	}
}

// runRound runs the exchanges of one round concurrently: a full one with one peer, urgent
// updates to urgentPeers others, and if tryUnreachable a full one with an entry that is
// suspect or gone.
func (gossip *Gossip) runRound(ctx context.Context, tryUnreachable bool) {
	now := time.Now()
	state := gossip.cell.Update(func(state membership.State) membership.State { return state.WithTick(now) })
	peers := membership.RandomPeers(state.View(), state.Self().Name, gossip.random, 1+urgentPeers)
	urgentOffer, hasUrgent := state.UrgentOffer()
	var exchanges errgroup.Group
	for i, peer := range peers {
		if i == 0 {
			exchanges.Go(func() error { return gossip.exchange(ctx, peer, state.Offer()) })
		} else if hasUrgent {
			exchanges.Go(func() error { return gossip.exchange(ctx, peer, urgentOffer) })
		}
	}
	if unreachable, ok := membership.RandomUnreachable(state.View(), gossip.random); ok && tryUnreachable {
		exchanges.Go(func() error { return gossip.exchange(ctx, unreachable, state.Offer()) })
	}
	gossip.cell.Update(membership.State.WithRound)
	_ = exchanges.Wait() // Each failure is already recorded in the state: the peer is suspect.
}

// exchange sends an offer to a peer, merges the reply, and sends the items that the peer requested.
func (gossip *Gossip) exchange(ctx context.Context, peer membership.Member, offer membership.Offer) error {
	reply, err := gossip.exchanger.Exchange(ctx, peer, offer)
	now := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			gossip.Update(func(state membership.State) membership.State { return state.WithUnreachable(peer.Name, now) })
		}
		return err
	}
	state, requested := rcu.Apply(gossip.cell, func(state membership.State) (membership.State, membership.Offer) {
		return state.WithReply(reply, now)
	})
	gossip.wakeIfUrgent(state)
	if len(requested.Deltas) == 0 {
		return nil
	}
	_, err = gossip.exchanger.Exchange(ctx, peer, requested)
	return err
}

// nextReportInterval returns the time until the next report, varied at random by up to a quarter either way.
func (gossip *Gossip) nextReportInterval() time.Duration {
	mean := membership.RefreshInterval(len(gossip.cell.Load().View().Live()))
	return mean*3/4 + time.Duration(gossip.random.IntN(int(mean/2)))
}

// nextRoundInterval returns the time until the next round, varied at random by up to roundJitter either way.
func (gossip *Gossip) nextRoundInterval() time.Duration {
	return meanRoundInterval - roundJitter + roundJitterStep*time.Duration(gossip.random.IntN(int(2*roundJitter/roundJitterStep)))
}

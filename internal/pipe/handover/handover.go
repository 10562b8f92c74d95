package handover

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// ErrNotHeld means that a peer does not have the state, so another one may be asked.
var ErrNotHeld = errors.New("the peer does not hold the state")

// errLeaving ends the tries of a leaving entry.
var errLeaving = errors.New("this entry is leaving")

const (
	// candidates is how many successors are tried; membership differs between
	// entries by a few while a domain leaves.
	candidates = 3
	// handTime bounds giving one state away, with all successors tried.
	handTime = time.Second
	// findTime bounds the search for a state, which delays every request with a
	// caller's id while an entry leaves. It allows for a round trip between regions.
	findTime = 500 * time.Millisecond
	// handsAtOnce bounds the calls that pass held states on.
	handsAtOnce = 16
	// retryAfter is when callers are told to repeat.
	retryAfter = time.Second
)

// Members gives the current membership.
type Members interface {
	View() membership.View
}

// Peers calls other entries.
type Peers interface {
	// Hold gives a state to a peer. After [ErrNotHeld] the peer does not hold it,
	// and after any other error it may.
	Hold(ctx context.Context, peer membership.Member, state handover.State) error
	// Take asks a peer for a state, which the peer gives out once.
	Take(ctx context.Context, peer membership.Member, query handover.Query) (handover.State, handover.Verdict, error)
}

// Handover hands the completions of a leaving entry to peers and takes up those of others.
type Handover struct {
	self    membership.Member
	members Members
	peers   Peers
	holder  *Holder
	// leaving is closed when the completions in progress are to be handed over.
	leaving chan struct{}
	leave   func()
}

// New returns the handover of the entry self, of which the name and the failure domain are used.
func New(self membership.Member, members Members, peers Peers) *Handover {
	leaving := make(chan struct{})
	leave := sync.OnceFunc(func() { close(leaving) })
	return &Handover{self: self, members: members, peers: peers, holder: newHolder(), leaving: leaving, leave: leave}
}

// Holder returns the states that this entry holds for others.
func (own *Handover) Holder() *Holder { return own.holder }

// Leave passes the states held for others on at once, and hands over the
// completions in progress after wait.
//
// It returns after both, or earlier when ctx ends during the wait.
func (own *Handover) Leave(ctx context.Context, wait time.Duration) {
	own.passOn(ctx, own.holder.close())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		own.leave()
	case <-ctx.Done():
	}
}

// passOn gives states that this entry held to their next successors.
func (own *Handover) passOn(ctx context.Context, states []handover.State) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handTime)
	defer cancel()
	var hands sync.WaitGroup
	free := make(chan struct{}, handsAtOnce)
	for _, state := range states {
		free <- struct{}{}
		hands.Go(func() {
			own.hand(ctx, state)
			<-free
		})
	}
	hands.Wait()
}

// hand gives a state to the first successor that takes it.
//
// It stops at a call that was cut off: that peer may hold the state, and a
// second copy could be taken up a second time.
func (own *Handover) hand(ctx context.Context, state handover.State) (string, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handTime)
	defer cancel()
	for _, peer := range handover.Successors(own.members.View(), own.self.Name, own.self.Domain, state.ID, candidates) {
		err := own.peers.Hold(ctx, peer, state)
		if err == nil {
			return peer.Name, true
		}
		if !errors.Is(err, ErrNotHeld) {
			return peer.Name, false
		}
	}
	return "", false
}

// found is what a search for a state came to.
type found struct {
	state   handover.State
	verdict handover.Verdict
	// peer is the entry that answered, asked the number of peers that were.
	peer  string
	asked int
}

// find takes the state of a query from this entry or the peers that may hold it.
func (own *Handover) find(ctx context.Context, query func() handover.Query, id string) found {
	places := handover.PossibleHolders(own.members.View(), id, candidates)
	if len(places) == 0 && own.holder.empty() {
		return found{verdict: handover.VerdictMissing}
	}
	asking := query()
	state, verdict := own.holder.Take(asking)
	best := found{state: state, verdict: verdict, peer: own.self.Name}
	if best.rank() > 1 {
		return best
	}
	return own.ask(ctx, places, asking, best)
}

// ask asks all peers at once, since each round trip delays the repeated request,
// and returns the best answer. At most one of them holds the state, except after
// a call of Hold whose answer was lost.
func (own *Handover) ask(ctx context.Context, places []membership.Member, asking handover.Query, best found) found {
	ctx, cancel := context.WithTimeout(ctx, findTime)
	defer cancel()
	answers := make(chan found, len(places))
	for _, peer := range places {
		if peer.Name == own.self.Name {
			continue
		}
		best.asked++
		go func() {
			state, verdict, err := own.peers.Take(ctx, peer, asking)
			if err != nil {
				verdict = handover.VerdictMissing
			}
			answers <- found{state: state, verdict: verdict, peer: peer.Name}
		}()
	}
	for range best.asked {
		answer := <-answers
		if answer.rank() > best.rank() {
			answer.asked = best.asked
			best = answer
		}
		if best.verdict == handover.VerdictTaken {
			break
		}
	}
	return best
}

// rank orders answers: a state first, then why the account's own state is
// refused, then that another account has one.
func (found found) rank() int {
	switch found.verdict {
	case handover.VerdictTaken:
		return 3
	case handover.VerdictMissing:
		return 0
	case handover.VerdictOtherAccount:
		return 1
	}
	return 2
}

package handover

import (
	"context"
	"errors"
	"sync"
	"time"

	decide "github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// ErrNotHeld means that the peer certainly did not store the state, which may therefore be
// sent to another peer.
var ErrNotHeld = errors.New("handover: the peer did not store the state")

// errLeaving is the cancellation cause of the completions that a leaving entry hands over.
var errLeaving = errors.New("this entry is leaving")

const (
	// maxSuccessors is the largest number of peers to which a state is offered, and of the
	// peers per leaving failure domain at which it is searched. It exceeds one because
	// entries determine the successors from their own membership views, which differ by a
	// few entries while a failure domain is leaving.
	maxSuccessors = 3
	// handoverTimeout bounds sending one state, including the calls to all successors, and
	// forwarding all held states.
	handoverTimeout = time.Second
	// findTimeout bounds the search for a state, which delays every request with an id
	// chosen by the caller while an entry is leaving. It allows for a round trip between
	// regions.
	findTimeout = 500 * time.Millisecond
	// maxConcurrentHandovers bounds the concurrent calls that forward held states.
	maxConcurrentHandovers = 16
	// retryAfter is the time after which interrupted callers are asked to repeat their requests.
	retryAfter = time.Second
)

// Members provides this entry's current membership view.
type Members interface {
	View() membership.View
}

// Peers is the client for calls to other entries.
type Peers interface {
	// Hold asks a peer to store a state. After [ErrNotHeld] the peer certainly does not
	// hold the state; after any other error it may.
	Hold(ctx context.Context, peer membership.Member, state decide.State) error
	// Take asks a peer for the state that matches the query. A peer returns each state only
	// once.
	Take(ctx context.Context, peer membership.Member, query decide.Query) (decide.State, decide.Verdict, error)
}

// Handover sends the completions in progress to peers when this entry leaves, and resumes
// those of other entries when their callers repeat the requests here.
type Handover struct {
	self    membership.Member
	members Members
	peers   Peers
	holder  *Holder
	// leaving is closed when this entry starts to hand over the completions in progress.
	leaving chan struct{}
	// closeLeaving closes leaving; later calls have no effect.
	closeLeaving func()
}

// New returns the handover of the entry self, of which only the name and the failure domain are used.
func New(self membership.Member, members Members, peers Peers) *Handover {
	leaving := make(chan struct{})
	closeLeaving := sync.OnceFunc(func() { close(leaving) })
	return &Handover{self: self, members: members, peers: peers, holder: newHolder(), leaving: leaving, closeLeaving: closeLeaving}
}

// Holder returns the store of the states that this entry holds for leaving peers.
func (handover *Handover) Holder() *Holder { return handover.holder }

// Leave forwards the states held for other entries at once, and after wait starts to
// hand over the completions in progress.
//
// It does not wait until these completions are handed over. If ctx ends during the
// wait, Leave returns and the completions continue here.
func (handover *Handover) Leave(ctx context.Context, wait time.Duration) {
	handover.handOverHeld(ctx, handover.holder.close())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		handover.closeLeaving()
	case <-ctx.Done():
	}
}

// handOverHeld sends the states that this entry held for other entries to further successors.
// The end of ctx does not stop it; it takes at most handoverTimeout.
func (handover *Handover) handOverHeld(ctx context.Context, states []decide.State) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
	defer cancel()
	var handovers sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentHandovers)
	for _, state := range states {
		select {
		case semaphore <- struct{}{}:
		case <-ctx.Done():
			handovers.Wait()
			return
		}
		handovers.Go(func() {
			handover.offer(ctx, state)
			<-semaphore
		})
	}
	handovers.Wait()
}

// handOver sends the state of a completion that this entry has cancelled, see [Handover.offer]. The end of ctx does not
// stop it; it takes at most handoverTimeout.
func (handover *Handover) handOver(ctx context.Context, state decide.State) (string, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
	defer cancel()
	return handover.offer(ctx, state)
}

// offer sends a state to the first successor that stores it, and returns the name of
// that peer and true. If no peer stores it, the name is empty.
//
// After a call whose outcome is unknown it stops and returns the peer's name and false:
// that peer may hold the state, and with a second copy the completion could be resumed twice.
func (handover *Handover) offer(ctx context.Context, state decide.State) (string, bool) {
	for _, peer := range decide.Successors(handover.members.View(), handover.self.Name, handover.self.Domain, state.ID, maxSuccessors) {
		err := handover.peers.Hold(ctx, peer, state)
		if err == nil {
			return peer.Name, true
		}
		if !errors.Is(err, ErrNotHeld) {
			return peer.Name, false
		}
	}
	return "", false
}

// searchResult is the result of a search for a state.
type searchResult struct {
	state   decide.State
	verdict decide.Verdict
	// peer is the name of the entry that returned the verdict.
	peer string
	// peersQueried is the number of peers that were queried.
	peersQueried int
}

// findState takes the state of a repeated request from this entry or from the peers that
// may hold it.
//
// makeQuery is a function because a query hashes the body, which is only needed if some entry
// may hold a state.
func (handover *Handover) findState(ctx context.Context, makeQuery func() decide.Query, id string) searchResult {
	holders := decide.PossibleHolders(handover.members.View(), id, maxSuccessors)
	if len(holders) == 0 && handover.holder.empty() {
		return searchResult{verdict: decide.VerdictMissing}
	}
	query := makeQuery()
	state, verdict := handover.holder.Take(query)
	best := searchResult{state: state, verdict: verdict, peer: handover.self.Name}
	if best.rank() > 1 {
		// This entry holds the client account's own state, so the peers need not be queried.
		return best
	}
	return handover.queryPeers(ctx, holders, query, best)
}

// queryPeers queries the holders other than this entry concurrently, because each round trip
// delays the repeated request, and returns the result with the highest rank, or best if none ranks higher.
// At most one peer holds the state, unless the answer to a call of Hold was lost.
func (handover *Handover) queryPeers(ctx context.Context, holders []membership.Member, query decide.Query, best searchResult) searchResult {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan searchResult, len(holders))
	for _, peer := range holders {
		if peer.Name == handover.self.Name {
			continue
		}
		best.peersQueried++
		go func() {
			state, verdict, err := handover.peers.Take(ctx, peer, query)
			if err != nil {
				verdict = decide.VerdictMissing
			}
			answers <- searchResult{state: state, verdict: verdict, peer: peer.Name}
		}()
	}
	for range best.peersQueried {
		answer := <-answers
		if answer.rank() > best.rank() {
			answer.peersQueried = best.peersQueried
			best = answer
		}
		if best.verdict == decide.VerdictTaken {
			break
		}
	}
	return best
}

// rank orders results: a state ranks highest, then the reason why the client account's own
// state is refused, then the state of another client account, then a missing state.
func (searchResult searchResult) rank() int {
	switch searchResult.verdict {
	case decide.VerdictTaken:
		return 3
	case decide.VerdictMissing:
		return 0
	case decide.VerdictOtherAccount:
		return 1
	}
	return 2
}

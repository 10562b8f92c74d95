package kv

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// LinkFault is what goes wrong with one call.
type LinkFault string

// The faults of a call.
const (
	LinkSound       LinkFault = ""
	LinkPauseBefore LinkFault = "PauseBefore"
	LinkPauseAfter  LinkFault = "PauseAfter"
	LinkRequestLost LinkFault = "RequestLost"
	LinkAnswerLost  LinkFault = "AnswerLost"
	// LinkLate delivers a write after its caller was told that there is no answer.
	LinkLate LinkFault = "Late"
	// LinkTwice delivers a write again later.
	LinkTwice LinkFault = "Twice"
)

var linkFaults = []LinkFault{LinkPauseBefore, LinkPauseAfter, LinkRequestLost, LinkAnswerLost, LinkLate, LinkTwice}

// LinkPause is how long the scripted pauses and late deliveries take; drawn ones take up to it.
const LinkPause = 20 * time.Second

// Link is one process's connection to a [Memory], with faults of its own.
//
// Its methods are those of the client, and time is read through package time
// only, so it runs inside a testing/synctest bubble.
type Link struct {
	memory  *Memory
	latency time.Duration
	script  *rcu.Cell[[]LinkFault]
	chaos   *rcu.Cell[chaos]
	dead    atomic.Bool
	out     atomic.Bool
	calls   atomic.Uint64
	writes  atomic.Int64
}

type chaos struct {
	seed   uint64
	chance float64
}

// Script sets the faults of the next calls, in order.
func (link *Link) Script(faults ...LinkFault) { link.script.Store(faults) }

// InjectRandomFaults makes each call fail with a chance; the fault follows from the seed and the call's number.
func (link *Link) InjectRandomFaults(seed uint64, chance float64) {
	link.chaos.Store(chaos{seed: seed, chance: chance})
}

// SetOut cuts the connection or mends it.
func (link *Link) SetOut(out bool) { link.out.Store(out) }

// Kill makes all further calls fail without effect, as of a process that has ended.
func (link *Link) Kill() { link.dead.Store(true) }

// Writes returns how many puts reached the store, conflicting ones included.
func (link *Link) Writes() int64 { return link.writes.Load() }

// Get returns the item of key, or false if there is none.
func (link *Link) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	page, err := link.read(ctx, rangeRequest{Key: []byte(key)})
	if err != nil || len(page.Items) == 0 {
		return kv.Item{}, false, err
	}
	return page.Items[0], true, nil
}

// Range returns up to limit items (0 for all) with the prefix whose keys are from or after.
func (link *Link) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	return link.read(ctx, rangeRequest{Key: []byte(max(prefix, from)), RangeEnd: []byte(prefix + "\xff"), Limit: int64(limit)})
}

func (link *Link) read(ctx context.Context, request rangeRequest) (kv.Page, error) {
	var page kv.Page
	err := link.reach(ctx, link.draw(false), func() {
		// A range of the current revision is never refused.
		response, _ := link.memory.State().read(request)
		page = kv.Page{Revision: response.Header.Revision, More: response.More}
		for _, message := range response.Kvs {
			page.Items = append(page.Items, message.client())
		}
	})
	return page, err
}

// Put stores the value if the key's revision is the given one, 0 for an absent key.
func (link *Link) Put(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	type outcome struct {
		revision int64
		err      error
	}
	// A write that is delivered twice has two outcomes, of which the first counts.
	outcomes := make(chan outcome, 2)
	err := link.reach(ctx, link.draw(true), func() {
		link.writes.Add(1)
		written, err := link.memory.put(key, value, revision)
		outcomes <- outcome{revision: written, err: err}
	})
	if err != nil {
		return 0, err
	}
	first := <-outcomes
	return first.revision, first.err
}

// Delete removes the keys in [from, end), or the key from alone when end is empty.
func (link *Link) Delete(ctx context.Context, from, end string) error {
	return link.reach(ctx, link.draw(true), func() {
		step := requestStep{Delete: &deleteRequest{Key: []byte(from), RangeEnd: []byte(end)}}
		_, _ = link.memory.transact(txnRequest{Success: []requestStep{step}})
	})
}

// Watch passes each change under the prefix from a revision on to deliver, without faults.
func (link *Link) Watch(ctx context.Context, prefix string, revision int64, deliver func(kv.Event) error) error {
	return link.memory.watch(ctx, prefix, prefix+"\xff", revision, deliver)
}

// drawn is the fault of one call and the length of its pause or delay.
type drawn struct {
	fault LinkFault
	pause time.Duration
}

// draw takes the next fault of the script, or else one by chance; reads are delivered once, at once.
func (link *Link) draw(write bool) drawn {
	_, scripted := rcu.Apply(link.script, func(script []LinkFault) ([]LinkFault, []LinkFault) {
		return script[min(1, len(script)):], script[:min(1, len(script))]
	})
	if len(scripted) > 0 {
		return drawn{fault: scripted[0], pause: LinkPause}
	}
	chaos := link.chaos.Load()
	random := rand.New(rand.NewPCG(chaos.seed, link.calls.Add(1)))
	if random.Float64() >= chaos.chance {
		return drawn{}
	}
	faults := linkFaults
	if !write {
		faults = linkFaults[:4]
	}
	return drawn{fault: faults[random.IntN(len(faults))], pause: time.Duration(1 + random.Int64N(int64(LinkPause)))}
}

// reach makes a call with its fault.
func (link *Link) reach(ctx context.Context, drawn drawn, effect func()) error {
	unanswered := &kv.UnansweredError{Sent: true, Cause: context.DeadlineExceeded}
	if link.out.Load() || link.dead.Load() {
		return unanswered
	}
	rest(link.latency)
	switch drawn.fault {
	case LinkPauseBefore:
		rest(drawn.pause)
	case LinkRequestLost:
		return unanswered
	case LinkLate:
		time.AfterFunc(drawn.pause, effect)
		return unanswered
	case LinkTwice:
		time.AfterFunc(drawn.pause, effect)
	}
	if link.dead.Load() {
		return unanswered
	}
	effect()
	if drawn.fault == LinkPauseAfter {
		rest(drawn.pause)
	}
	if drawn.fault == LinkAnswerLost || link.dead.Load() || ctx.Err() != nil {
		return unanswered
	}
	return nil
}

// rest lets time pass whatever the caller's context says, as in a process that is paused.
func rest(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	<-timer.C
}

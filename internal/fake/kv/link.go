package kv

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// LinkFault is the fault of one call over a [Link].
type LinkFault string

// The faults of a call.
const (
	// LinkSound is a call without a fault.
	LinkSound LinkFault = ""
	// LinkPauseBefore pauses the calling process before the call takes effect.
	LinkPauseBefore LinkFault = "PauseBefore"
	// LinkPauseAfter pauses the calling process between the effect of the call and its return.
	LinkPauseAfter LinkFault = "PauseAfter"
	// LinkRequestLost makes a call fail without an effect.
	LinkRequestLost LinkFault = "RequestLost"
	// LinkAnswerLost makes a call take effect and then fail.
	LinkAnswerLost LinkFault = "AnswerLost"
	// LinkLate makes a write fail at once and take effect later.
	LinkLate LinkFault = "Late"
	// LinkTwice makes a write take effect at once, and again later.
	LinkTwice LinkFault = "Twice"
)

// drawableFaults are the faults that can be drawn at random. The first four apply to reads too.
var drawableFaults = []LinkFault{LinkPauseBefore, LinkPauseAfter, LinkRequestLost, LinkAnswerLost, LinkLate, LinkTwice}

// LinkPause is the length of scripted pauses and delays. Those drawn at random have at most this length.
const LinkPause = 20 * time.Second

// Link is the connection of one process to a [Memory], with injected faults.
//
// Its methods are those of the client. It reads time through package time only, so it
// runs in virtual time inside a testing/synctest bubble.
type Link struct {
	memory       *Memory
	latency      time.Duration
	script       *rcu.Cell[[]LinkFault]
	randomFaults *rcu.Cell[randomFaults]
	killed       atomic.Bool
	interrupted  atomic.Bool
	// unscriptedCalls counts the calls without a scripted fault. Each draws its random fault by its number.
	unscriptedCalls atomic.Uint64
	writes          atomic.Int64
}

// randomFaults gives each unscripted call a fault with a probability (0 to 1), reproducibly from a seed.
type randomFaults struct {
	seed        uint64
	probability float64
}

// Script sets the faults of the next calls, in order. The calls after them have the random faults, if any.
func (link *Link) Script(faults ...LinkFault) { link.script.Store(faults) }

// InjectRandomFaults gives each unscripted call a fault with the given probability (0 to 1). The fault
// depends only on the seed, the number of unscripted calls before it and whether the call is a read.
func (link *Link) InjectRandomFaults(seed uint64, probability float64) {
	link.randomFaults.Store(randomFaults{seed: seed, probability: probability})
}

// SetOut sets whether the connection is interrupted. While it is, calls fail without an effect.
func (link *Link) SetOut(out bool) { link.interrupted.Store(out) }

// Kill makes all further calls fail without an effect, as if the calling process had ended.
func (link *Link) Kill() { link.killed.Store(true) }

// Writes returns how many puts have reached the store, including conflicting and duplicated ones.
func (link *Link) Writes() int64 { return link.writes.Load() }

// Get returns the item of key, and false if the key is absent.
func (link *Link) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	page, err := link.read(ctx, rangeRequest{Key: []byte(key)})
	if err != nil || len(page.Items) == 0 {
		return kv.Item{}, false, err
	}
	return page.Items[0], true, nil
}

// Range returns up to limit items (0 for all) whose keys have the prefix and are not less than from.
func (link *Link) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	return link.read(ctx, rangeRequest{Key: []byte(max(prefix, from)), RangeEnd: []byte(prefix + "\xff"), Limit: int64(limit)})
}

func (link *Link) read(ctx context.Context, request rangeRequest) (kv.Page, error) {
	var page kv.Page
	err := link.call(ctx, link.nextFault(false), func() {
		// A read of the current revision cannot fail: only compacted revisions are rejected.
		response, _ := link.memory.State().read(request)
		page = kv.Page{Revision: response.Header.Revision, More: response.More}
		for _, message := range response.Kvs {
			page.Items = append(page.Items, message.clientItem())
		}
	})
	return page, err
}

// Put stores the value and returns the new revision if the key is at the given revision, 0 for an absent key.
//
// It returns a [*kv.ConflictError] with the current item if the key is at another revision, a
// [*kv.TooLargeError] if the value is larger than 1 MiB, and a [*kv.UnansweredError] if the call
// has no answer, in which case it may have taken effect or may still do so.
func (link *Link) Put(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	type outcome struct {
		revision int64
		err      error
	}
	// A write that is delivered twice has two outcomes. The first one is returned.
	outcomes := make(chan outcome, 2)
	err := link.call(ctx, link.nextFault(true), func() {
		link.writes.Add(1)
		written, err := link.memory.put(key, value, revision)
		outcomes <- outcome{revision: written, err: err}
	})
	if err != nil {
		return 0, err
	}
	firstOutcome := <-outcomes
	return firstOutcome.revision, firstOutcome.err
}

// Delete removes the keys in [from, end), or only the key from when end is empty.
func (link *Link) Delete(ctx context.Context, from, end string) error {
	return link.call(ctx, link.nextFault(true), func() {
		step := requestStep{Delete: &deleteRequest{Key: []byte(from), RangeEnd: []byte(end)}}
		_, _ = link.memory.transact(txnRequest{Success: []requestStep{step}})
	})
}

// Watch passes each change to a key with the prefix, from a revision on, to deliver. No faults are injected.
func (link *Link) Watch(ctx context.Context, prefix string, revision int64, deliver func(kv.Event) error) error {
	return link.memory.watch(ctx, prefix, prefix+"\xff", revision, deliver)
}

// callFault is the fault of one call, and the length of its pause or delay.
type callFault struct {
	fault LinkFault
	pause time.Duration
}

// nextFault takes the next fault from the script, or else draws one at random. The faults drawn for a
// read exclude LinkLate and LinkTwice.
func (link *Link) nextFault(write bool) callFault {
	_, scripted := rcu.Apply(link.script, func(script []LinkFault) ([]LinkFault, []LinkFault) {
		return script[min(1, len(script)):], script[:min(1, len(script))]
	})
	if len(scripted) > 0 {
		return callFault{fault: scripted[0], pause: LinkPause}
	}
	settings := link.randomFaults.Load()
	random := rand.New(rand.NewPCG(settings.seed, link.unscriptedCalls.Add(1)))
	if random.Float64() >= settings.probability {
		return callFault{}
	}
	faults := drawableFaults
	if !write {
		faults = drawableFaults[:4]
	}
	return callFault{fault: faults[random.IntN(len(faults))], pause: time.Duration(1 + random.Int64N(int64(LinkPause)))}
}

// call applies effect as the injected fault requires: not at all, once, late or twice. It returns a
// [*kv.UnansweredError] if the caller gets no answer.
func (link *Link) call(ctx context.Context, injected callFault, effect func()) error {
	unanswered := &kv.UnansweredError{Sent: true, Cause: context.DeadlineExceeded}
	if link.interrupted.Load() || link.killed.Load() {
		return unanswered
	}
	sleep(link.latency)
	switch injected.fault {
	case LinkPauseBefore:
		sleep(injected.pause)
	case LinkRequestLost:
		return unanswered
	case LinkLate:
		time.AfterFunc(injected.pause, effect)
		return unanswered
	case LinkTwice:
		time.AfterFunc(injected.pause, effect)
	}
	if link.killed.Load() {
		return unanswered
	}
	effect()
	if injected.fault == LinkPauseAfter {
		sleep(injected.pause)
	}
	if injected.fault == LinkAnswerLost || link.killed.Load() || ctx.Err() != nil {
		return unanswered
	}
	return nil
}

// sleep returns after duration, also when the caller's context ends, to which a paused process cannot react.
func sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	<-timer.C
}

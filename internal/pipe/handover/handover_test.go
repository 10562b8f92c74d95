package handover_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	decide "github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// caller is a client that repeats an interrupted request.
type caller struct {
	request call.Request
	// text and tokens are the answer as the caller has put it together.
	text   string
	tokens int
	finals int
	// first is the time to the first token of the first try.
	first time.Duration
	// restarted counts the tokens that were thrown away, recomputed those computed as a prompt again.
	restarted  int
	recomputed int
}

func newCaller(number int) *caller {
	return &caller{request: call.Request{
		ID: fmt.Sprintf("r%02d", number), Named: true, KeyHash: "h", Service: "menu", Stream: number%2 == 0,
		Completion: call.Completion{Model: "menu", Prompt: fmt.Sprintf("plan %d tokens=%d", number, 250+2*number)},
	}}
}

// send makes one try, as the front end and a caller of it do.
func (caller *caller) send(ctx context.Context, entry *entry) error {
	next := caller.request
	next.Arrived = time.Now()
	if next.Stream {
		next.Received = caller.tokens
	} else {
		caller.text, caller.tokens = "", 0
	}
	sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
		if caller.first == 0 {
			caller.first = time.Since(next.Arrived)
		}
		if chunk.Offset == 0 && caller.tokens > 0 {
			caller.restarted += caller.tokens
			caller.text, caller.tokens = "", 0
		}
		if chunk.Offset != caller.tokens {
			return fmt.Errorf("chunk at %d instead of %d", chunk.Offset, caller.tokens)
		}
		caller.text, caller.tokens = caller.text+chunk.Text, chunk.End()
		if chunk.Final {
			caller.finals++
			caller.recomputed = chunk.Recomputed
		}
		return nil
	})
	_, err := entry.handler.Handle(ctx, request.Exchange{Request: next, Sink: sink})
	return err
}

// Guards against answers that are lost, repeated or garbled when their entry
// leaves (P1), against work that runs on there, and against a shutdown that hangs
// when peers do not take the state.
func TestEntryLeavesInTheMiddle(t *testing.T) {
	cases := []struct {
		name string
		hold func(ctx context.Context, peer *entry, state decide.State) error
		// pause is the callers' time before the repeat, between what happens in it.
		pause   time.Duration
		between func(ctx context.Context, world *world)
		// at is the entry of every second repeat, the others go to entry-3.
		at int
		// kept reports whether the repeats go on where the answers ended.
		kept bool
	}{
		{name: "handed over", at: 5, kept: true},
		{name: "all peers refuse", at: 5, hold: func(context.Context, *entry, decide.State) error { return handover.ErrNotHeld }},
		{name: "some peers refuse", at: 5, kept: true, hold: func(_ context.Context, peer *entry, _ decide.State) error {
			if peer.name == "entry-1" || peer.name == "entry-2" {
				return handover.ErrNotHeld
			}
			return nil
		}},
		{name: "cut off", at: 5, hold: func(ctx context.Context, _ *entry, _ decide.State) error {
			<-ctx.Done()
			return ctx.Err()
		}},
		{name: "peer's answer lost", at: 5, kept: true, hold: func(_ context.Context, peer *entry, state decide.State) error {
			assert.Equal(t, decide.VerdictHeld, peer.handover.Holder().Hold(state))
			peer.world.handed.Add(1)
			return errGone
		}},
		{name: "expired", at: 5, pause: decide.HoldTime},
		{name: "holders die", at: 3, between: func(_ context.Context, world *world) {
			for _, entry := range world.entries {
				entry.dead.Store(entry.handover.Holder().Bytes() > 0)
			}
		}},
		{name: "holders leave too", at: 5, kept: true, between: func(ctx context.Context, world *world) {
			world.leave(ctx, world.entries[1])
			world.leave(ctx, world.entries[4])
		}},
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%-20s %8s %10s %12s %14s\n", "case", "handed", "restarted", "as prompt", "engine time")
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld(t)
			world.hold = c.hold
			callers := make([]*caller, 50)
			var sending, interrupted sync.WaitGroup
			var discarded atomic.Int64
			again := make(chan struct{})
			for i := range callers {
				callers[i] = newCaller(i)
				interrupted.Add(1)
				sending.Go(func() {
					err := callers[i].send(t.Context(), world.entries[0])
					var interruption *decide.Interruption
					assert.ErrorAs(t, err, &interruption, c.name)
					if !callers[i].request.Stream && !c.kept {
						discarded.Add(int64(callers[i].tokens))
					}
					interrupted.Done()
					<-again
					assert.NoError(t, callers[i].send(t.Context(), world.entries[[]int{3, c.at}[i/2%2]]))
				})
			}
			pause(time.Second)
			world.leave(t.Context(), world.entries[0])
			interrupted.Wait()
			pause(time.Second + c.pause)
			if c.between != nil {
				c.between(t.Context(), world)
			}
			if c.between == nil {
				assert.LessOrEqual(t, world.handed.Load(), int64(50), "%s: a state is held twice", c.name)
			}
			close(again)
			sending.Wait()
			restarted, recomputed := int(discarded.Load()), 0
			for _, caller := range callers {
				prompt := caller.request.Completion.Prompt
				assert.Equal(t, runner.Text(prompt, 0, runner.Length(prompt)), caller.text, c.name)
				assert.Equal(t, 1, caller.finals, c.name)
				restarted += caller.restarted
				recomputed += caller.recomputed
			}
			assert.Equal(t, c.kept, restarted == 0, c.name)
			assert.Equal(t, c.kept, recomputed > 0, c.name)
			engine := time.Duration(restarted)*20*time.Millisecond + time.Duration(recomputed)*time.Millisecond
			fmt.Fprintf(&table, "%-20s %8d %10d %12d %14v\n", c.name, world.handed.Load(), restarted, recomputed, engine)
			pause(decide.HoldTime)
			synctest.Wait()
			for _, entry := range world.entries {
				assert.Zero(t, entry.handover.Holder().Bytes(), c.name)
			}
		})
	}
	t.Log("\n" + table.String())
}

// Guards against a state that another client account, another body or a second
// repeat gets, and against one that a refused repeat destroys.
func TestRepeatsAreCheckedAndServedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		first := newCaller(0)
		done := make(chan error)
		go func() { done <- first.send(t.Context(), world.entries[0]) }()
		pause(time.Second)
		go world.leave(t.Context(), world.entries[0])
		var interruption *decide.Interruption
		require.ErrorAs(t, <-done, &interruption)
		assert.True(t, interruption.Held)
		assert.Equal(t, first.tokens, interruption.Tokens)
		cases := []struct {
			name   string
			change func(caller *caller)
			reason call.Reason
		}{
			{"other account", func(caller *caller) { caller.request.KeyHash = "o" }, call.ReasonKeyConflict},
			{"other body", func(caller *caller) { caller.request.Completion.Prompt += "x" }, call.ReasonKeyConflict},
			{"inside a chunk", func(caller *caller) { caller.tokens-- }, call.ReasonMalformed},
			{"too far", func(caller *caller) { caller.tokens += 4 }, call.ReasonMalformed},
		}
		for i, c := range cases {
			other := *first
			c.change(&other)
			var refusal *call.Refusal
			require.ErrorAs(t, other.send(t.Context(), world.entries[1+i]), &refusal, c.name)
			assert.Equal(t, c.reason, refusal.Reason, c.name)
		}
		second := *first
		require.NoError(t, first.send(t.Context(), world.entries[1]))
		assert.Zero(t, first.restarted)
		require.NoError(t, second.send(t.Context(), world.entries[2]))
		assert.Equal(t, interruption.Tokens, second.restarted)
		assert.Equal(t, first.text, second.text)
	})
}

// Guards against an order that is ended or handed over, although only the booking log makes its repeat safe (P4).
func TestOrdersStayWhereTheyAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		done := make(chan error)
		go func() {
			exchange, err := world.entries[0].handler.Handle(t.Context(), request.Exchange{Request: call.Request{
				ID: "b1", Named: true, KeyHash: "h", Service: "booking", Arrived: time.Now(),
				Operation: call.Operation{Method: "POST", Path: "/orders", Body: []byte("x")},
			}})
			assert.Equal(t, 200, exchange.Answer.Status)
			done <- err
		}()
		pause(time.Second)
		world.entries[0].handover.Leave(t.Context(), 0)
		assert.NoError(t, <-done)
		assert.Zero(t, world.handed.Load())
	})
}

// Guards against a holder whose memory grows without bound.
func TestHolderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := newWorld(t).entries[0].handover.Holder()
		text := strings.Repeat("x", 1<<20)
		held := 0
		for i := range 40 {
			state := decide.NewState(fmt.Sprint(i), "desk", "", 0).WithChunk(call.Chunk{Tokens: 1, Text: text})
			if holder.Hold(state) == decide.VerdictHeld {
				held++
			}
		}
		assert.Equal(t, 15, held)
		assert.LessOrEqual(t, holder.Bytes(), decide.MaxBytes)
		pause(decide.HoldTime)
		synctest.Wait()
		assert.Zero(t, holder.Bytes())
	})
}

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

// caller sends a request, repeats it after an interruption, and keeps the answer received
// so far.
type caller struct {
	request call.Request
	// text and tokens are the answer received so far and its number of tokens, and endMarkers
	// is the number of its end markers.
	text       string
	tokens     int
	endMarkers int
	// timeToFirstToken is the time to the first token of the first attempt.
	timeToFirstToken time.Duration
	// discardedTokens counts the tokens that were discarded because the answer restarted,
	// and recomputedTokens the answer tokens that a server read again as part of a prompt.
	discardedTokens  int
	recomputedTokens int
}

func newCaller(number int) *caller {
	return &caller{request: call.Request{
		ID: fmt.Sprintf("r%02d", number), Named: true, KeyHash: "h", Service: "menu", Stream: number%2 == 0,
		Completion: call.Completion{Model: "menu", Prompt: fmt.Sprintf("plan %d tokens=%d", number, 250+2*number)},
	}}
}

// send sends the request once, as a caller does through its front end.
func (caller *caller) send(ctx context.Context, entry *entry) error {
	attempt := caller.request
	attempt.Arrived = time.Now()
	if attempt.Stream {
		attempt.Received = caller.tokens
	} else {
		caller.text, caller.tokens = "", 0
	}
	sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
		if caller.timeToFirstToken == 0 {
			caller.timeToFirstToken = time.Since(attempt.Arrived)
		}
		if chunk.Offset == 0 && caller.tokens > 0 {
			caller.discardedTokens += caller.tokens
			caller.text, caller.tokens = "", 0
		}
		if chunk.Offset != caller.tokens {
			return fmt.Errorf("chunk starts at token %d instead of %d", chunk.Offset, caller.tokens)
		}
		caller.text, caller.tokens = caller.text+chunk.Text, chunk.End()
		if chunk.Final {
			caller.endMarkers++
			caller.recomputedTokens = chunk.Recomputed
		}
		return nil
	})
	_, err := entry.handler.Handle(ctx, request.Exchange{Request: attempt, Sink: sink})
	return err
}

// Guards against answers that are lost, duplicated or garbled when their entry leaves
// during the completion, against completions that continue at the leaving entry, and
// against a shutdown that hangs when peers do not store the state.
func TestEntryLeavesDuringCompletions(t *testing.T) {
	cases := []struct {
		name      string
		holdFault func(ctx context.Context, peer *entry, state decide.State) error
		// repeatDelay is added to the time before the callers repeat their requests, and
		// beforeRepeat runs at the end of that time.
		repeatDelay  time.Duration
		beforeRepeat func(ctx context.Context, cluster *cluster)
		// repeatEntry is the index of the entry that receives half of the repeated requests;
		// entry-3 receives the other half.
		repeatEntry int
		// resumed reports whether the repeated requests resume where the answers were interrupted.
		resumed bool
	}{
		{name: "handed over", repeatEntry: 5, resumed: true},
		{name: "all peers refuse", repeatEntry: 5, holdFault: func(context.Context, *entry, decide.State) error { return handover.ErrNotHeld }},
		{name: "some peers refuse", repeatEntry: 5, resumed: true, holdFault: func(_ context.Context, peer *entry, _ decide.State) error {
			if peer.name == "entry-1" || peer.name == "entry-2" {
				return handover.ErrNotHeld
			}
			return nil
		}},
		{name: "peers do not answer", repeatEntry: 5, holdFault: func(ctx context.Context, _ *entry, _ decide.State) error {
			<-ctx.Done()
			return ctx.Err()
		}},
		{name: "peer's answer lost", repeatEntry: 5, resumed: true, holdFault: func(_ context.Context, peer *entry, state decide.State) error {
			assert.Equal(t, decide.VerdictHeld, peer.handover.Holder().Hold(state))
			peer.cluster.heldStates.Add(1)
			return errConnectionReset
		}},
		{name: "expired", repeatEntry: 5, repeatDelay: decide.HoldTime},
		{name: "holding peers fail", repeatEntry: 3, beforeRepeat: func(_ context.Context, cluster *cluster) {
			for _, entry := range cluster.entries {
				entry.dead.Store(entry.handover.Holder().Bytes() > 0)
			}
		}},
		{name: "holding peers leave", repeatEntry: 5, resumed: true, beforeRepeat: func(ctx context.Context, cluster *cluster) {
			cluster.leave(ctx, cluster.entries[1])
			cluster.leave(ctx, cluster.entries[4])
		}},
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%-20s %8s %10s %12s %14s\n", "case", "held", "discarded", "recomputed", "engine time")
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t)
			cluster.holdFault = c.holdFault
			callers := make([]*caller, 50)
			var sending, interrupted sync.WaitGroup
			var discardedAnswers atomic.Int64
			repeat := make(chan struct{})
			for i := range callers {
				callers[i] = newCaller(i)
				interrupted.Add(1)
				sending.Go(func() {
					err := callers[i].send(t.Context(), cluster.entries[0])
					var interruption *decide.Interruption
					assert.ErrorAs(t, err, &interruption, c.name)
					if !callers[i].request.Stream && !c.resumed {
						discardedAnswers.Add(int64(callers[i].tokens))
					}
					interrupted.Done()
					<-repeat
					assert.NoError(t, callers[i].send(t.Context(), cluster.entries[[]int{3, c.repeatEntry}[i/2%2]]))
				})
			}
			sleep(time.Second)
			cluster.leave(t.Context(), cluster.entries[0])
			interrupted.Wait()
			sleep(time.Second + c.repeatDelay)
			if c.beforeRepeat != nil {
				c.beforeRepeat(t.Context(), cluster)
			}
			if c.beforeRepeat == nil {
				assert.LessOrEqual(t, cluster.heldStates.Load(), int64(50), "%s: more states are held than there are requests", c.name)
			}
			close(repeat)
			sending.Wait()
			discarded, recomputed := int(discardedAnswers.Load()), 0
			for _, caller := range callers {
				prompt := caller.request.Completion.Prompt
				assert.Equal(t, runner.Text(prompt, 0, runner.Length(prompt)), caller.text, c.name)
				assert.Equal(t, 1, caller.endMarkers, c.name)
				discarded += caller.discardedTokens
				recomputed += caller.recomputedTokens
			}
			assert.Equal(t, c.resumed, discarded == 0, c.name)
			assert.Equal(t, c.resumed, recomputed > 0, c.name)
			engineTime := time.Duration(discarded)*20*time.Millisecond + time.Duration(recomputed)*time.Millisecond
			fmt.Fprintf(&table, "%-20s %8d %10d %12d %14v\n", c.name, cluster.heldStates.Load(), discarded, recomputed, engineTime)
			sleep(decide.HoldTime)
			synctest.Wait()
			for _, entry := range cluster.entries {
				assert.Zero(t, entry.handover.Holder().Bytes(), c.name)
			}
		})
	}
	t.Log("\n" + table.String())
}

// Guards against states that are returned to another client account, to a request with
// another body or a second time, and against states that are lost to a refused request.
func TestRepeatsAreCheckedAndServedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		original := newCaller(0)
		done := make(chan error)
		go func() { done <- original.send(t.Context(), cluster.entries[0]) }()
		sleep(time.Second)
		go cluster.leave(t.Context(), cluster.entries[0])
		var interruption *decide.Interruption
		require.ErrorAs(t, <-done, &interruption)
		assert.True(t, interruption.Held)
		assert.Equal(t, original.tokens, interruption.Tokens)
		cases := []struct {
			name   string
			change func(caller *caller)
			reason call.Reason
		}{
			{"other account", func(caller *caller) { caller.request.KeyHash = "o" }, call.ReasonKeyConflict},
			{"other body", func(caller *caller) { caller.request.Completion.Prompt += "x" }, call.ReasonKeyConflict},
			{"inside a chunk", func(caller *caller) { caller.tokens-- }, call.ReasonMalformed},
			{"more tokens than relayed", func(caller *caller) { caller.tokens += 4 }, call.ReasonMalformed},
		}
		for i, c := range cases {
			changed := *original
			c.change(&changed)
			var refusal *call.Refusal
			require.ErrorAs(t, changed.send(t.Context(), cluster.entries[1+i]), &refusal, c.name)
			assert.Equal(t, c.reason, refusal.Reason, c.name)
		}
		duplicate := *original
		require.NoError(t, original.send(t.Context(), cluster.entries[1]))
		assert.Zero(t, original.discardedTokens)
		require.NoError(t, duplicate.send(t.Context(), cluster.entries[2]))
		assert.Equal(t, interruption.Tokens, duplicate.discardedTokens)
		assert.Equal(t, original.text, duplicate.text)
	})
}

// Guards against an order that is cancelled or handed over, although only the booking log
// makes its repeat safe.
func TestOrdersAreNotHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		done := make(chan error)
		go func() {
			exchange, err := cluster.entries[0].handler.Handle(t.Context(), request.Exchange{Request: call.Request{
				ID: "b1", Named: true, KeyHash: "h", Service: "booking", Arrived: time.Now(),
				Operation: call.Operation{Method: "POST", Path: "/orders", Body: []byte("x")},
			}})
			assert.Equal(t, 200, exchange.Answer.Status)
			done <- err
		}()
		sleep(time.Second)
		cluster.entries[0].handover.Leave(t.Context(), 0)
		assert.NoError(t, <-done)
		assert.Zero(t, cluster.heldStates.Load())
	})
}

// Guards against states that are held beyond the memory bound or after their hold time.
func TestHolderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := newCluster(t).entries[0].handover.Holder()
		text := strings.Repeat("x", 1<<20)
		held := 0
		for i := range 40 {
			state := decide.NewState(fmt.Sprint(i), "desk", "", 0).WithChunk(call.Chunk{Tokens: 1, Text: text})
			if holder.Hold(state) == decide.VerdictHeld {
				held++
			}
		}
		// 15 states of slightly more than 1 MiB each fit into the 16 MiB of MaxBytes.
		assert.Equal(t, 15, held)
		assert.LessOrEqual(t, holder.Bytes(), decide.MaxBytes)
		sleep(decide.HoldTime)
		synctest.Wait()
		assert.Zero(t, holder.Bytes())
	})
}

// Guards against a shutdown that takes a second for each few held states while peers do not answer: the timeout of the
// whole had no effect.
func TestForwardingOfHeldStatesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.holdFault = func(ctx context.Context, _ *entry, _ decide.State) error {
			<-ctx.Done()
			return ctx.Err()
		}
		leaving := cluster.entries[0].handover
		for i := range 100 {
			state := decide.NewState(fmt.Sprint(i), "desk", "", 0).WithChunk(call.Chunk{Tokens: 1, Text: "x"})
			require.Equal(t, decide.VerdictHeld, leaving.Holder().Hold(state))
		}
		began := time.Now()
		leaving.Leave(t.Context(), 0)
		assert.LessOrEqual(t, time.Since(began), 1100*time.Millisecond)
	})
}

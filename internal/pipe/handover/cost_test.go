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
	"google.golang.org/protobuf/proto"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	decide "github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

// replication is a filter that replicates requests to a peer before or while they are answered.
type replication struct {
	cluster *cluster
	// everyChunk is whether each chunk is replicated in addition to the accepted request.
	everyChunk bool
	calls      atomic.Int64
	bytes      atomic.Int64
}

// bodyBytes is the assumed length of a caller's body, which is part of the replica of an accepted request.
const bodyBytes = 4096

func (replication *replication) filter(next request.Handler) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
		accepted := exchange.Request
		state := decide.NewState(accepted.ID, accepted.Account, handover.BodyHash(accepted), 0)
		replication.send(ctx, state, bodyBytes+proto.Size(peer.EncodeHandover(state)))
		sink := exchange.Sink
		return next.Handle(ctx, exchange.WithSink(request.SinkFunc(func(ctx context.Context, chunk call.Chunk) error {
			if replication.everyChunk && !chunk.Final {
				state = state.WithChunk(chunk)
				increment := decide.NewState(accepted.ID, accepted.Account, "", 0).WithChunk(chunk)
				replication.send(ctx, state, proto.Size(peer.EncodeHandover(increment)))
			}
			return sink.Send(ctx, chunk)
		})))
	})
}

func (replication *replication) send(ctx context.Context, state decide.State, bytes int) {
	cluster := replication.cluster
	replication.calls.Add(1)
	replication.bytes.Add(int64(bytes))
	_ = cluster.Hold(ctx, decide.Successors(cluster.members.Load(), "entry-0", "Shah Alam", state.ID, 1)[0], state)
}

// Guards against changes of the costs for which replication was rejected (see the package
// documentation): the calls and the delay that it adds to each request, and the tokens
// that it saves when an entry fails without notice.
func TestCostOfReplication(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%-14s %14s %14s %14s %20s\n", "replicated", "calls/request", "bytes/request", "first token", "tokens lost/request")
	discarded := map[string]int{}
	firstToken := map[string]time.Duration{}
	for _, name := range []string{"nothing", "acceptance", "every chunk"} {
		synctest.Test(t, func(t *testing.T) {
			replication := &replication{everyChunk: name == "every chunk"}
			cluster := newReplicatedCluster(t, func(cluster *cluster) request.Filter {
				replication.cluster = cluster
				if name == "nothing" {
					return nil
				}
				return replication.filter
			})
			// The end of ctx interrupts all calls, like a crash of entry-0 without notice.
			ctx, crash := context.WithCancel(t.Context())
			callers := make([]*caller, 50)
			var sending sync.WaitGroup
			for i := range callers {
				// Even numbers are streamed, so that the callers keep the tokens received before the failure.
				callers[i] = newCaller(2 * i)
				sending.Go(func() { assert.Error(t, callers[i].send(ctx, cluster.entries[0])) })
				// Requests of the same instant may choose servers before any of them counts as load.
				// A ninth at one server then waits for a slot, and has no tokens to lose.
				sleep(time.Microsecond)
			}
			sleep(4 * time.Second)
			for name, server := range cluster.runners {
				assert.Zero(t, server.Waiting(), "requests that wait for a slot of %s", name)
			}
			crash()
			sending.Wait()
			calls, bytes := replication.calls.Load(), replication.bytes.Load()
			member, _ := cluster.members.Load().Member("entry-0")
			cluster.members.Update(func(view membership.View) membership.View { return view.WithMembers(member.WithLeaving()) })
			for _, caller := range callers {
				firstToken[name] += caller.timeToFirstToken
				sending.Go(func() { assert.NoError(t, caller.send(t.Context(), cluster.entries[3])) })
			}
			sending.Wait()
			for _, caller := range callers {
				discarded[name] += caller.discardedTokens
			}
			fmt.Fprintf(&table, "%-14s %14d %14d %14v %20d\n", name, calls/50, bytes/50, firstToken[name]/50, discarded[name]/50)
		})
	}
	t.Log("\n" + table.String())
	assert.Equal(t, discarded["nothing"], discarded["acceptance"], "replicating the acceptance must not change the number of discarded tokens")
	assert.Zero(t, discarded["every chunk"])
	assert.Equal(t, 50*2*oneWayLatency, firstToken["acceptance"]-firstToken["nothing"])
}

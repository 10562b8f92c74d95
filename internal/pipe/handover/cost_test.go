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

// replication tells a peer of requests before or while they are answered.
type replication struct {
	world *world
	// every reports that each chunk is replicated, not only the acceptance.
	every bool
	calls atomic.Int64
	bytes atomic.Int64
}

// bodyBytes is the length of a caller's body, which a replica of an accepted request needs.
const bodyBytes = 4096

func (replication *replication) filter(next request.Handler) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
		accepted := exchange.Request
		state := decide.NewState(accepted.ID, accepted.Account, handover.BodyHash(accepted), 0)
		replication.send(ctx, state, bodyBytes+proto.Size(peer.EncodeHandover(state)))
		sink := exchange.Sink
		return next.Handle(ctx, exchange.WithSink(request.SinkFunc(func(ctx context.Context, chunk call.Chunk) error {
			if replication.every && !chunk.Final {
				state = state.WithChunk(chunk)
				one := decide.NewState(accepted.ID, accepted.Account, "", 0).WithChunk(chunk)
				replication.send(ctx, state, proto.Size(peer.EncodeHandover(one)))
			}
			return sink.Send(ctx, chunk)
		})))
	})
}

func (replication *replication) send(ctx context.Context, state decide.State, bytes int) {
	world := replication.world
	replication.calls.Add(1)
	replication.bytes.Add(int64(bytes))
	_ = world.Hold(ctx, decide.Successors(world.members.Load(), "entry-0", "Shah Alam", state.ID, 1)[0], state)
}

// Guards against a change of the costs on which replication was rejected: what it
// adds to each request, and what it saves when an entry dies without notice.
func TestCostOfReplication(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%-14s %14s %14s %14s %20s\n", "replicated", "calls/request", "bytes/request", "first token", "tokens per request lost")
	restarted := map[string]int{}
	first := map[string]time.Duration{}
	for _, name := range []string{"nothing", "acceptance", "every chunk"} {
		synctest.Test(t, func(t *testing.T) {
			replication := &replication{every: name == "every chunk"}
			world := newReplicatedWorld(t, func(world *world) request.Filter {
				replication.world = world
				if name == "nothing" {
					return nil
				}
				return replication.filter
			})
			ctx, crash := context.WithCancel(t.Context())
			callers := make([]*caller, 50)
			var sending sync.WaitGroup
			for i := range callers {
				callers[i] = newCaller(2 * i) // all streamed, so that the callers keep what they have
				sending.Go(func() { assert.Error(t, callers[i].send(ctx, world.entries[0])) })
			}
			pause(4 * time.Second)
			crash()
			sending.Wait()
			calls, bytes := replication.calls.Load(), replication.bytes.Load()
			member, _ := world.members.Load().Member("entry-0")
			world.members.Update(func(view membership.View) membership.View { return view.WithMembers(member.WithLeaving()) })
			for _, caller := range callers {
				first[name] += caller.first
				sending.Go(func() { assert.NoError(t, caller.send(t.Context(), world.entries[3])) })
			}
			sending.Wait()
			for _, caller := range callers {
				restarted[name] += caller.restarted
			}
			fmt.Fprintf(&table, "%-14s %14d %14d %14v %20d\n", name, calls/50, bytes/50, first[name]/50, restarted[name]/50)
		})
	}
	t.Log("\n" + table.String())
	assert.Equal(t, restarted["nothing"], restarted["acceptance"], "a replica of the acceptance saves tokens")
	assert.Zero(t, restarted["every chunk"])
	assert.Equal(t, 50*2*oneWay, first["acceptance"]-first["nothing"])
}

package request_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Guards against a refusal of work that ran or runs later, against one without a time
// to retry, and against slots that refused or cancelled work keeps.
func TestRefusedWorkDoesNotRunAndKeepsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := config.Set{}.WithChange(config.Change{
			Revision: 1,
			Accounts: []config.Account{{Name: "desk", KeyHash: "h", Weight: 1, QueueLength: 3}},
			Services: []config.Service{{Name: "assistant", Protocol: config.ProtocolEngine, TimeoutMs: 3000}},
			Backends: []config.Backend{{Name: "r", Address: "r", Slots: 1}},
		})
		fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
		require.NoError(t, err)
		snapshot := views{request.View{Config: set, Fleet: fleet}}
		ran := atomic.Int64{}
		last := request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
			ran.Add(1)
			<-time.After(10 * time.Second) // an engine that does not end at the deadline
			return exchange, nil
		})
		queues := request.NewQueues(snapshot, request.FixedPartition{Entries: 1}, rcu.New(account.Estimator{}))
		entry := request.Chain(last, request.Identify(snapshot), queues.WaitForSlot())
		send := func(ctx context.Context, number int) (request.Exchange, error) {
			return entry.Handle(ctx, request.Exchange{Request: call.Request{ID: fmt.Sprint(number), KeyHash: "h", Service: "assistant", Arrived: time.Now()}})
		}
		// One slot of the share and one borrowed run, three wait, and one is too many.
		reasons := make(chan call.Reason, 6)
		cancelled, cancel := context.WithCancel(t.Context())
		for number := range 6 {
			ctx := t.Context()
			if number == 4 {
				ctx = cancelled
			}
			go func() {
				exchange, err := send(ctx, number)
				var refusal *call.Refusal
				if errors.As(err, &refusal) {
					assert.Positive(t, refusal.RetryAfter)
					assert.Equal(t, "Refused", exchange.Decisions[0].Reason)
					reasons <- refusal.Reason
				}
			}()
			synctest.Wait()
		}
		assert.Equal(t, call.ReasonQueueFull, <-reasons)
		cancel()
		assert.Equal(t, call.ReasonDeadline, <-reasons)
		began := time.Now()
		assert.Equal(t, call.ReasonDeadline, <-reasons)
		assert.Equal(t, call.ReasonDeadline, <-reasons)
		assert.Equal(t, 3*time.Second, time.Since(began), "waiting work ends at its deadline")
		assert.Equal(t, int64(2), ran.Load())
		<-time.After(10 * time.Second)
		synctest.Wait()
		exchange, err := send(t.Context(), 6)
		require.NoError(t, err)
		assert.Equal(t, "Short", exchange.Decisions[0].Reason)
		assert.Equal(t, int64(3), ran.Load())
	})
}

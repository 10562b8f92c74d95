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

// Guards against refused work that nevertheless runs, against refusals without the time
// after which to retry, and against slots that refused or cancelled work still occupies.
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
		snapshot := fixedView{request.View{Config: set, Fleet: fleet}}
		ran := atomic.Int64{}
		engine := request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
			ran.Add(1)
			<-time.After(10 * time.Second) // longer than the deadline, which this engine ignores
			return exchange, nil
		})
		queues := request.NewQueues(snapshot, request.FixedPartition{Entries: 1}, rcu.New(account.Estimator{}))
		entry := request.Chain(engine, request.Identify(snapshot), queues.WaitForSlot())
		send := func(ctx context.Context, number int) (request.Exchange, error) {
			return entry.Handle(ctx, request.Exchange{Request: call.Request{ID: fmt.Sprint(number), KeyHash: "h", Service: "assistant", Arrived: time.Now()}})
		}
		// One request runs on the slot of the account's share and one on a borrowed slot, three
		// wait, and the sixth exceeds the queue length.
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
		assert.Equal(t, 3*time.Second, time.Since(began), "waiting requests are refused at their deadline")
		assert.Equal(t, int64(2), ran.Load())
		<-time.After(10 * time.Second)
		synctest.Wait()
		exchange, err := send(t.Context(), 6)
		require.NoError(t, err)
		assert.Equal(t, "Short", exchange.Decisions[0].Reason)
		assert.Equal(t, int64(3), ran.Load())
	})
}

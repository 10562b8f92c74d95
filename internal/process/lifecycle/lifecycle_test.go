package lifecycle_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/process/lifecycle"
)

// Guards against a graceful shutdown that ends before an accepted request has finished.
func TestStopFinishesAcceptedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := request.NewGate()
		entry := request.Chain(request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
			<-time.After(10 * time.Second)
			return exchange, nil
		}), gate.Filter())
		life := lifecycle.New()
		require.NoError(t, life.SetReady())
		results := make(chan error, 3)
		start := func() {
			go func() {
				_, err := entry.Handle(context.Background(), request.Exchange{})
				results <- err
			}()
			synctest.Wait()
		}
		start()
		began := time.Now()
		stopped := make(chan bool)
		go func() {
			finished, err := life.Stop(context.Background(), gate, 3*time.Second, time.Minute)
			assert.NoError(t, err)
			stopped <- finished
		}()
		<-time.After(2 * time.Second)
		assert.False(t, life.Ready())
		start() // The balancer may still send requests here.
		<-time.After(2 * time.Second)
		assert.Equal(t, lifecycle.StateDraining, life.State())
		start()
		var refusal *call.Refusal
		require.ErrorAs(t, <-results, &refusal)
		assert.Equal(t, call.ReasonStopping, refusal.Reason)
		require.NoError(t, <-results)
		require.NoError(t, <-results)
		assert.True(t, <-stopped)
		assert.Equal(t, 12*time.Second, time.Since(began))
		assert.Equal(t, lifecycle.StateStopped, life.State())
	})
}

// Guards against a shutdown that waits without limit for a request that does not end.
func TestStopEndsAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := request.NewGate()
		release := make(chan struct{})
		entry := request.Chain(request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
			<-release
			return exchange, nil
		}), gate.Filter())
		go func() { _, _ = entry.Handle(context.Background(), request.Exchange{}) }()
		synctest.Wait()
		finished, err := lifecycle.New().Stop(t.Context(), gate, 0, time.Minute)
		require.NoError(t, err)
		assert.False(t, finished)
		close(release)
	})
}

// Guards against a shutdown that is reported as complete because its context ended while a request was in progress.
func TestStopReportsRequestsThatAreInProgressWhenItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := request.NewGate()
		release := make(chan struct{})
		entry := request.Chain(request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
			<-release
			return exchange, nil
		}), gate.Filter())
		go func() { _, _ = entry.Handle(context.Background(), request.Exchange{}) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		finished, err := lifecycle.New().Stop(ctx, gate, 0, time.Minute)
		assert.False(t, finished)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		close(release)
	})
}

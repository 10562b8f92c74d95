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

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// upToFourAttempts replaces [request.Retry]: it makes up to four attempts, each at another
// server.
func upToFourAttempts(next request.Handler) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
		var err error
		for range 4 {
			exchange, err = next.Handle(ctx, exchange)
			var failure *call.Failure
			if !errors.As(err, &failure) {
				return exchange, err
			}
		}
		return exchange, err
	})
}

// Guards against a request that crashes server after server, because an entry retries it or
// because its caller sends it again to other entries.
func TestServersLostToOneRequestAreBounded(t *testing.T) {
	const resendInterval = 300 * time.Millisecond
	for _, test := range []struct {
		name             string
		exchangeInterval time.Duration
		// maxLost is two servers, and two more for each resend between the second crash and
		// the next exchange of trackers, but at most two per entry.
		maxLost int64
	}{
		{"trackers exchanged between resends", 100 * time.Millisecond, 2},
		{"trackers exchanged every fourth resend", 4 * resendInterval, 10},
		{"trackers never exchanged", time.Hour, 2 * entryCount},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				runners, handlers, suspectStates := newQuarantineEntries(t)
				go exchangeTrackers(ctx, suspectStates, test.exchangeInterval)
				var innocent, refused atomic.Int64
				go sendInnocent(ctx, handlers, &innocent, &refused)
				quarantined := 0
				for resend := range 4 * entryCount {
					if isQuarantined(sendPrompt(ctx, handlers[resend%entryCount], "poison")) {
						quarantined++
					}
					<-time.After(resendInterval)
				}
				cancel()
				synctest.Wait()
				crashed := int64(0)
				for _, server := range runners {
					if errors.As(server.Complete(t.Context(), call.Completion{Prompt: "tokens=1"}, func(call.Chunk) error { return nil }), new(*call.Failure)) {
						crashed++
					}
				}
				t.Logf("%d servers crashed, %d of %d resends refused, %d innocent requests answered, %d refused",
					crashed, quarantined, 4*entryCount, innocent.Load(), refused.Load())
				assert.LessOrEqual(t, crashed, test.maxLost)
				assert.Positive(t, quarantined)
				assert.Positive(t, innocent.Load())
				if test.exchangeInterval < resendInterval {
					assert.Zero(t, refused.Load(), "innocent requests are no longer suspected once they have finished")
				}
			})
		})
	}
}

// newQuarantineEntries returns runners that crash on the prompt "poison" and stay down, the
// entries in front of them, and the entries' states of suspect requests.
func newQuarantineEntries(t *testing.T) (runner.Runners, []request.Handler, []request.Suspects) {
	runners, set := newEngines()
	for name := range runners {
		runners[name] = runner.New(runner.Settings{Name: name, Slots: 32, AnswerToken: 20 * time.Millisecond, CrashMark: "poison"})
	}
	var handlers []request.Handler
	var suspectStates []request.Suspects
	for range entryCount {
		fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
		require.NoError(t, err)
		suspects := request.NewSuspects()
		suspectStates = append(suspectStates, suspects)
		handlers = append(handlers, request.Chain(request.Dispatch(runners, runners),
			request.Identify(fixedView{request.View{Config: set, Fleet: fleet}}), upToFourAttempts,
			request.Quarantine(suspects), request.Choose(globalRand{}), request.Isolate(suspects)))
	}
	return runners, handlers, suspectStates
}

// sendPrompt sends a completion to an entry and discards its answer.
func sendPrompt(ctx context.Context, entry request.Handler, prompt string) error {
	discard := request.SinkFunc(func(context.Context, call.Chunk) error { return nil })
	_, err := entry.Handle(ctx, request.Exchange{Sink: discard, Request: call.Request{
		KeyHash: "h", Service: "menu", Arrived: time.Now(), Completion: call.Completion{Prompt: prompt},
	}})
	return err
}

// sendInnocent sends requests that do not crash servers at a constant rate until ctx ends,
// so that several are in flight at each crash.
func sendInnocent(ctx context.Context, handlers []request.Handler, answered, refused *atomic.Int64) {
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
		go func() {
			err := sendPrompt(ctx, handlers[number%entryCount], fmt.Sprintf("menu %d tokens=20", number))
			switch {
			case err == nil:
				answered.Add(1)
			case isQuarantined(err):
				refused.Add(1)
			}
		}()
	}
}

// isQuarantined reports whether err refuses a quarantined request.
func isQuarantined(err error) bool {
	var refusal *call.Refusal
	return errors.As(err, &refusal) && refusal.Reason == call.ReasonQuarantined
}

// exchangeTrackers merges the trackers of all entries at an interval until ctx ends.
func exchangeTrackers(ctx context.Context, suspectStates []request.Suspects, interval time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		merged := suspect.Tracker{}
		for _, suspects := range suspectStates {
			merged = merged.Merge(suspects.Tracker.Load())
		}
		for _, suspects := range suspectStates {
			suspects.Tracker.Update(merged.Merge)
		}
	}
}

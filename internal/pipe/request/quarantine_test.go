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

// fourTries stands in for the retries: up to four tries, each at another server.
func fourTries(next request.Handler) request.Handler {
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

// Guards against a request that takes down server after server, at one entry or through resends to others.
func TestServersLostToOneRequestAreBounded(t *testing.T) {
	const resendEvery = 300 * time.Millisecond
	for _, test := range []struct {
		name     string
		exchange time.Duration
		// lost is two servers, and two more for each resend before the first exchange
		// of registers after the second crash, but never more than two per entry.
		lost int64
	}{
		{"registers exchanged between resends", 100 * time.Millisecond, 2},
		{"registers exchanged every fourth resend", 4 * resendEvery, 10},
		{"registers never exchanged", time.Hour, 2 * entries},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				group, handlers, all := suspectPath(t)
				go exchangeRegisters(ctx, all, test.exchange)
				var innocent, refused atomic.Int64
				go background(ctx, handlers, &innocent, &refused)
				quarantined := 0
				for resend := range 4 * entries {
					if quarantinedBy(send(ctx, handlers[resend%entries], "poison")) {
						quarantined++
					}
					<-time.After(resendEvery)
				}
				cancel()
				synctest.Wait()
				lost := int64(0)
				for _, server := range group {
					if errors.As(server.Complete(t.Context(), call.Completion{Prompt: "tokens=1"}, func(call.Chunk) error { return nil }), new(*call.Failure)) {
						lost++
					}
				}
				t.Logf("%d servers lost, %d of %d resends refused, %d innocent requests answered, %d refused",
					lost, quarantined, 4*entries, innocent.Load(), refused.Load())
				assert.LessOrEqual(t, lost, test.lost)
				assert.Positive(t, quarantined)
				assert.Positive(t, innocent.Load())
				if test.exchange < resendEvery {
					assert.Zero(t, refused.Load(), "innocent requests are cleared by finishing")
				}
			})
		})
	}
}

// suspectPath returns runners that stay down after a crash, and entries in front of them.
func suspectPath(t *testing.T) (runner.Runners, []request.Handler, []request.Suspects) {
	group, set := engines()
	for name := range group {
		group[name] = runner.New(runner.Settings{Name: name, Slots: 32, AnswerToken: 20 * time.Millisecond, CrashMark: "poison"})
	}
	var handlers []request.Handler
	var all []request.Suspects
	for range entries {
		fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
		require.NoError(t, err)
		suspects := request.NewSuspects()
		all = append(all, suspects)
		handlers = append(handlers, request.Chain(request.Dispatch(group, group),
			request.Identify(views{request.View{Config: set, Fleet: fleet}}), fourTries,
			request.Quarantine(suspects), request.Choose(source{}), request.Isolate(suspects)))
	}
	return group, handlers, all
}

func send(ctx context.Context, entry request.Handler, prompt string) error {
	discard := request.SinkFunc(func(context.Context, call.Chunk) error { return nil })
	_, err := entry.Handle(ctx, request.Exchange{Sink: discard, Request: call.Request{
		KeyHash: "h", Service: "menu", Arrived: time.Now(), Completion: call.Completion{Prompt: prompt},
	}})
	return err
}

// background sends innocent requests all the time, so that several are in flight at each crash.
func background(ctx context.Context, handlers []request.Handler, answered, refused *atomic.Int64) {
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
		go func() {
			err := send(ctx, handlers[number%entries], fmt.Sprintf("menu %d tokens=20", number))
			switch {
			case err == nil:
				answered.Add(1)
			case quarantinedBy(err):
				refused.Add(1)
			}
		}()
	}
}

func quarantinedBy(err error) bool {
	var refusal *call.Refusal
	return errors.As(err, &refusal) && refusal.Reason == call.ReasonQuarantined
}

func exchangeRegisters(ctx context.Context, all []request.Suspects, every time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		merged := suspect.Tracker{}
		for _, suspects := range all {
			merged = merged.Merge(suspects.Tracker.Load())
		}
		for _, suspects := range all {
			suspects.Tracker.Update(merged.Merge)
		}
	}
}

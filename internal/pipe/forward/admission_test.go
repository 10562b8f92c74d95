package forward_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// queueingServers are a [forward.BackendClient] of engines that answer one call after the other, each after a service time.
// Its clock is that of the synctest bubble.
type queueingServers struct {
	*environment
	start       time.Time
	turn        chan struct{}
	serviceTime atomic.Int64
}

func (servers *queueingServers) Now() time.Duration { return time.Since(servers.start) + time.Hour }

// RecordStarted does nothing, since calls run at the same time.
func (servers *queueingServers) RecordStarted(string) {}

func (servers *queueingServers) Open(ctx context.Context, _ directory.Server, _ call.Request, _ func() bool) (forward.Answer, *call.Failure) {
	select {
	case <-servers.turn:
	case <-ctx.Done():
		return nil, &call.Failure{Ran: call.RanUnknown, Cause: call.CauseTimeout}
	}
	time.Sleep(time.Duration(servers.serviceTime.Load()))
	servers.turn <- struct{}{}
	return &answer{call.AnswerHead{Status: 200}, strings.NewReader("ok")}, nil
}

// discard is a [request.Reply] that keeps nothing.
type discard struct{}

func (discard discard) Begin(call.AnswerHead) error { return nil }
func (discard discard) Write([]byte) error          { return nil }

// Guards against calls that wait at engines until their callers give up, in place of a rejection at once, after the engines
// have become slower than the demand; and against rejections for a plain service.
func TestCallsThatCannotBeAnsweredInTimeAreRejectedAtOnce(t *testing.T) {
	for _, engines := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			servers := &queueingServers{environment: newEnvironment(route.KindIdempotent), start: time.Now(), turn: make(chan struct{}, 1)}
			servers.turn <- struct{}{}
			service := route.Service{Name: "engines"}
			if engines {
				service.Engine.Slots = 8
			}
			served := route.Route{Name: "r", Host: "a", Prefix: "/", Kind: route.KindIdempotent, Services: []route.WeightedService{{Service: "engines", Weight: 1}}, Attempts: 1, Timeout: 4 * time.Second, Target: 2 * time.Second, Public: true}
			servers.table = route.NewTable(1, []route.Route{served}, []route.Service{service}, nil, route.Limits{})
			servers.demand = forward.NewDemand(servers)
			handler := request.Chain(forward.NewDelivery(servers.dependencies(servers)), forward.Match(servers))
			var onTime, rejected, heldBack atomic.Int64
			send := func(id int) {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				began := time.Now()
				_, err := handler.Handle(ctx, request.Exchange{Reply: discard{}, Request: call.Request{
					ID: fmt.Sprint(id), Arrived: began, Deadline: began.Add(3 * time.Second),
					Opaque: call.Opaque{Method: "POST", Target: "/x", Path: "/x", Host: "a", TimeLimit: 3 * time.Second, Prompt: call.Prompt{Input: 1000}},
				}})
				var refusal *call.Refusal
				switch {
				case err == nil && time.Since(began) <= served.Target:
					onTime.Add(1)
				case errors.As(err, &refusal):
					assert.Equal(t, call.ReasonQueueFull, refusal.Reason)
					assert.Greater(t, refusal.RetryAfter, 50*time.Millisecond)
					rejected.Add(1)
					if time.Since(began) > 100*time.Millisecond {
						heldBack.Add(1)
					}
				}
			}
			calls := 0
			play := func(seconds, perSecond int) {
				for range seconds * perSecond {
					calls++
					go send(calls)
					time.Sleep(time.Second / time.Duration(perSecond))
				}
			}
			servers.serviceTime.Store(int64(5 * time.Millisecond))
			play(3, 100)
			assert.Zero(t, rejected.Load(), "while the servers have room")
			servers.serviceTime.Store(int64(50 * time.Millisecond))
			play(6, 100) // The calls of the first second take five seconds.
			before := onTime.Load()
			play(4, 100)
			if engines {
				// The 20 admitted calls a second, and half of each of the 80 rejected ones.
				assert.InDelta(t, 60*1000, servers.demand.TokensPerSecond()["engines"], 15*1000, "the demand for servers")
			}
			if engines {
				assert.Greater(t, onTime.Load()-before, int64(4*20*7/10), "answers in time of the 20 a second that the servers can give")
				assert.Zero(t, heldBack.Load(), "rejections that did not come at once")
			} else {
				assert.Zero(t, rejected.Load())
			}
			time.Sleep(5 * time.Second)
		})
	}
}

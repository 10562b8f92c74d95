package forward_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Guards against priorities that do not reach the calls: with too few servers, calls of a low priority would take the slots of
// those of a high one, of engines and of plain services; and against rejections by sharing where all priorities are the same.
func TestCallsOfHighPriorityAreServedFirst(t *testing.T) {
	const (
		slots       = 16 // Of the servers of newEnvironment.
		serviceTime = 200 * time.Millisecond
		// highCalls and lowCalls are calls a second, two and a half times as many together as the servers can answer.
		highCalls = 40
		lowCalls  = 160
		timeLeft  = 3 * time.Second
		// The test plays playTime in ticks of virtual time. The calls of the low priority begin at lowFrom, and calls are counted from
		// countedFrom on, when the queues of the step have been worked off.
		ticks       = 200 // A second.
		lowFrom     = 3 * ticks
		countedFrom = 8 * ticks
		playTime    = 14 * ticks
	)
	for _, c := range []struct {
		engines     bool
		lowPriority int
	}{{false, 3}, {true, 3}, {false, 0}} {
		synctest.Test(t, func(t *testing.T) {
			servers := &queueingServers{environment: newEnvironment(route.KindIdempotent), start: time.Now(), turn: make(chan struct{}, slots)}
			for range slots {
				servers.turn <- struct{}{}
			}
			servers.serviceTime.Store(int64(serviceTime))
			service := route.Service{Name: "engines"}
			if c.engines {
				service.Engine.Slots = 4
			}
			var routes []route.Route
			for _, name := range []string{"high", "low"} {
				served := route.Route{Name: name, Host: "a", Prefix: "/" + name, Kind: route.KindIdempotent, Services: []route.WeightedService{{Service: "engines", Weight: 1}}, Attempts: 1, Timeout: timeLeft, Target: time.Second, Public: true}
				if name == "low" {
					served.Priority = c.lowPriority
				}
				routes = append(routes, served)
			}
			servers.table = route.NewTable(1, routes, []route.Service{service}, nil, route.Limits{})
			shares := forward.NewSharing(servers)
			servers.demand = forward.NewDemand(servers)
			dependencies := servers.dependencies(servers)
			dependencies.Sharing, dependencies.Revocation = shares, forward.NewRevocation(servers, func() time.Duration { return timeLeft })
			handler := request.Chain(forward.NewDelivery(dependencies), forward.Match(servers))
			var asked, served, rejected [2]atomic.Int64
			counts := false
			send := func(id, kind int, path string, counts bool) {
				ctx, cancel := context.WithTimeout(t.Context(), timeLeft)
				defer cancel()
				began := time.Now()
				_, err := handler.Handle(ctx, request.Exchange{Reply: discard{}, Request: call.Request{
					ID: fmt.Sprint(id), Arrived: began, Deadline: began.Add(timeLeft),
					Opaque: call.Opaque{Method: "POST", Target: path, Path: path, Host: "a", TimeLimit: timeLeft, Prompt: call.Prompt{Input: 100}},
				}})
				var refusal *call.Refusal
				if errors.As(err, &refusal) {
					assert.Equal(t, call.ReasonQueueFull, refusal.Reason)
					assert.Positive(t, refusal.RetryAfter)
					assert.Zero(t, time.Since(began), "a rejection that did not come at once")
				}
				if !counts {
					return
				}
				asked[kind].Add(1)
				if err == nil {
					served[kind].Add(1)
				}
				if refusal != nil {
					rejected[kind].Add(1)
				}
			}
			for tick := range playTime {
				if tick%(ticks/4) == 0 {
					shares.Update(servers.table, servers.Servers(), nil)
				}
				counts = tick > countedFrom
				if tick%(ticks/highCalls) == 0 {
					go send(tick, 0, "/high", counts)
				}
				if tick > lowFrom && tick%ticks < lowCalls {
					go send(ticks*100+tick, 1, "/low", counts)
				}
				time.Sleep(time.Second / ticks)
			}
			time.Sleep(2 * timeLeft) // All calls have ended.
			t.Logf("engines %t, priority %d: asked %d %d, served %d %d, rejected %d %d", c.engines, c.lowPriority, asked[0].Load(), asked[1].Load(), served[0].Load(), served[1].Load(), rejected[0].Load(), rejected[1].Load())
			share := func(kind int) float64 { return float64(served[kind].Load()) / float64(asked[kind].Load()) }
			if c.lowPriority == 0 {
				assert.Zero(t, rejected[0].Load()+rejected[1].Load(), "with the same priority")
				return
			}
			assert.Greater(t, share(0), 0.9, "the high priority, engines: %t", c.engines)
			assert.Less(t, share(1), share(0), "the low priority, engines: %t", c.engines)
			mean := float64(served[0].Load()+served[1].Load()) / float64(asked[0].Load()+asked[1].Load())
			assert.Greater(t, share(1), mean/4, "the low priority, engines: %t", c.engines)
			assert.Greater(t, mean*(highCalls+lowCalls), 0.75*slots/serviceTime.Seconds(), "the servers stay busy, engines: %t", c.engines)
		})
	}
}

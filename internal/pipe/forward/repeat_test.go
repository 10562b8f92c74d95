package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// losingServers run each call and lose its answer, on a connection that has carried an earlier call.
type losingServers struct {
	*environment
	// arrivals is the number of times that a call arrived.
	arrivals int
	// meanwhile, if it is set, is called between the arrival of a call and the end of its connection.
	meanwhile func(server directory.Server)
}

func (servers *losingServers) Open(_ context.Context, server directory.Server, _ call.Request, repeat func() bool) (forward.Answer, *call.Failure) {
	servers.arrivals++
	if servers.meanwhile != nil {
		servers.meanwhile(server)
	}
	if repeat != nil && repeat() {
		servers.arrivals++
	}
	return nil, &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Peer: server.ID}
}

// Guards against servers that get more repeated calls than the retry budget allows while they lose their answers: calls
// that were sent again on a new connection to the same server were not charged. Calls that may run only once arrive once.
func TestRepeatsOfLostCallsStayWithinTheBudget(t *testing.T) {
	const calls, floor = 300, 10.0
	for _, kind := range []route.Kind{route.KindIdempotent, route.KindStream, route.KindNonIdempotent} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := &losingServers{environment: newEnvironment(kind)}
				dependencies := servers.dependencies(servers)
				dependencies.RetryBudgets = forward.NewRetryBudgets(floor)
				path := request.Chain(forward.NewDelivery(dependencies), forward.Match(servers))
				for range calls {
					opaque := call.Opaque{Method: "POST", Target: "/x", Path: "/x", Host: "a", Key: "k"}
					_, err := path.Handle(t.Context(), request.Exchange{Reply: servers, Request: call.Request{ID: "1", Arrived: time.Now(), Opaque: opaque}})
					assert.Error(t, err)
					time.Sleep(10 * time.Millisecond)
				}
				repeats := servers.arrivals - calls
				if kind == route.KindNonIdempotent {
					assert.Zero(t, repeats)
					return
				}
				assert.Positive(t, repeats)
				assert.LessOrEqual(t, float64(repeats), retry.BudgetShare*calls+floor*(1+calls*0.01/retry.BudgetWindow.Seconds()))
			})
		})
	}
}

// listWithout gives the entry a list that has a server no longer, or a changed one in its place.
func (environment *environment) listWithout(left directory.Server, instead ...directory.Server) {
	listed := instead
	for id, server := range environment.servers.All() {
		if id != left.ID {
			listed = append(listed, server)
		}
	}
	environment.servers = environment.servers.WithSnapshot(directory.Snapshot[[]directory.Server]{Revision: environment.servers.Revision() + 1, CurrentAt: time.Minute, Value: listed})
}

// Guards against calls that are sent again to a server which began to leave, or was barred otherwise, while it worked on them: the
// repeat at the same server looked at nothing but the time for which the server wants no calls.
func TestCallIsNotRepeatedAtAServerThatMayNoLongerGetIt(t *testing.T) {
	sharedPrompt := call.Prompt{Model: "m", Parts: []call.Part{{ID: "shared"}, {ID: "own"}}}
	for name, test := range map[string]struct {
		meanwhile func(servers *losingServers, server directory.Server)
		arrivals  int
	}{
		"nothing has changed": {func(*losingServers, directory.Server) {}, 2},
		"the store lists it as leaving": {func(servers *losingServers, server directory.Server) {
			leaving := server
			leaving.State = directory.StateLeaving
			servers.listWithout(server, leaving)
		}, 1},
		"the store lists it no longer": {func(servers *losingServers, server directory.Server) { servers.listWithout(server) }, 1},
		"it has started again":         {func(servers *losingServers, server directory.Server) { servers.restart(server) }, 1},
		"its address has changed": {func(servers *losingServers, server directory.Server) {
			moved := server
			moved.Address = "10.0.0.9:1"
			servers.listWithout(server, moved)
		}, 1},
		"it says in another answer that it leaves": {func(servers *losingServers, server directory.Server) {
			servers.MarkLeaving(server.ID, server.StartedMs)
		}, 1},
		"the configuration is too old": {func(servers *losingServers, _ directory.Server) { servers.age = time.Minute }, 1},
		"a part of the prompt crashes servers": {func(servers *losingServers, server directory.Server) {
			for i := range 3 {
				crash := call.Request{Opaque: call.Opaque{Prompt: sharedPrompt, Body: []byte{byte(i)}}}
				servers.partCrashes.RecordCrash(request.Exchange{Request: crash, Target: directory.Server{ID: string(rune('a' + i))}})
				time.Sleep(time.Second) // Crashes at once count as one.
			}
			for range 8 {
				servers.partCrashes.RecordAnswer(call.Prompt{Model: "m", Parts: []call.Part{{ID: "sound"}, {ID: "own"}}}, time.Now())
			}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := &losingServers{environment: newEnvironment(route.KindIdempotent)}
				servers.meanwhile = func(server directory.Server) { test.meanwhile(servers, server) }
				// A single attempt, so that only repeats at the same server are counted.
				matched, _ := servers.table.Match("a", "/x")
				matched.Attempts = 1
				servers.table = route.NewTable(1, []route.Route{matched}, []route.Service{{Name: "engines"}}, servers.table.Accounts(), route.Limits{})
				path := request.Chain(forward.NewDelivery(servers.dependencies(servers)), forward.Match(servers))
				opaque := call.Opaque{Method: "POST", Target: "/x", Path: "/x", Host: "a", Key: "k", Prompt: sharedPrompt}
				_, err := path.Handle(t.Context(), request.Exchange{Reply: servers, Request: call.Request{ID: "1", Arrived: time.Now(), Opaque: opaque}})
				assert.Error(t, err)
				assert.Equal(t, test.arrivals, servers.arrivals)
			})
		})
	}
}

// Guards against calls that are sent again to a server of a version that was stopped while it worked on them.
func TestCallIsNotRepeatedAtAStoppedVersion(t *testing.T) {
	environment, source, rollouts := newRollouts(20, 0.5)
	environment.withVersions(10, "a", "v1", "b", "v2")
	source.plans = rollout.Plans{"engines": {Order: rollout.Order{Service: "engines", To: "v2", Duration: 12 * time.Second, Revision: 15}}}
	servers, reached := &losingServers{environment: environment}, ""
	servers.meanwhile = func(server directory.Server) {
		if reached = server.Version; reached == "v2" {
			rollouts.MergeStops(map[string]int64{"engines": 15})
		}
	}
	dependencies := servers.dependencies(servers)
	dependencies.Rollouts, dependencies.RetryBudgets = rollouts, forward.NewRetryBudgets(1000)
	matched, _ := servers.table.Match("a", "/open/x")
	matched.Attempts = 1
	for reached != "v2" {
		servers.arrivals = 0
		_, err := forward.NewDelivery(dependencies).Handle(t.Context(), request.Exchange{
			Reply: servers, Route: matched, View: servers.View(), Request: call.Request{ID: "1", Deadline: time.Now().Add(time.Second), Opaque: call.Opaque{Host: "a"}},
		})
		assert.Error(t, err)
	}
	assert.Equal(t, 1, servers.arrivals)
}

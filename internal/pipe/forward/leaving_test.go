package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
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

// statedServers answer each call with a head that depends on the server, and count the calls.
type statedServers struct {
	*environment
	observations *forward.Observations
	heads        map[string]call.AnswerHead
	calls        map[string]int
}

func newStatedServers(heads map[string]call.AnswerHead) *statedServers {
	return &statedServers{environment: newEnvironment(route.KindIdempotent), observations: forward.NewObservations(), heads: heads, calls: map[string]int{}}
}

func (servers *statedServers) Open(_ context.Context, server directory.Server, _ call.Request, _ func() bool) (forward.Answer, *call.Failure) {
	servers.calls[server.ID]++
	head, ok := servers.heads[server.ID]
	if !ok {
		head = call.AnswerHead{Status: 200}
	}
	var body io.Reader = strings.NewReader("id: 1\ndata: a\n\n")
	return &answer{head, body}, nil
}

// handler returns the chain of filters before the servers.
func (servers *statedServers) handler() request.Handler {
	dependencies := servers.dependencies(servers)
	dependencies.Observations, dependencies.RetryBudgets = servers.observations, forward.NewRetryBudgets(1000)
	return request.Chain(forward.NewDelivery(dependencies), forward.Match(servers))
}

// Now returns a time that passes, in place of that of the environment.
func (servers *statedServers) Now() time.Duration { return time.Since(epoch) }

// epoch is the start of the virtual time of a synctest bubble.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// call sends a number of calls and returns the errors.
func (servers *statedServers) call(count int) error {
	var errs error
	handler := servers.handler()
	for range count {
		_, err := handler.Handle(context.Background(), request.Exchange{Reply: servers, Request: call.Request{
			ID: "1", Arrived: time.Now(), Opaque: call.Opaque{Method: "POST", Target: "/x", Path: "/x", Host: "a", Key: "k"},
		}})
		errs = errors.Join(errs, err)
	}
	return errs
}

// list gives the entry a list of the four servers, in which each has the start time startedMs.
func (servers *statedServers) list(startedMs int64) {
	var listed []directory.Server
	for i := range 4 {
		listed = append(listed, directory.Server{ID: fmt.Sprint("s", i), Service: "engines", State: directory.StateReady, Slots: 4, StartedMs: startedMs})
	}
	servers.servers = servers.servers.WithSnapshot(directory.Snapshot[[]directory.Server]{Revision: servers.servers.Revision() + 1, CurrentAt: servers.Now(), Value: listed})
}

// Guards against work for a server that has said in an answer that it is leaving, whatever the answer was, whatever the lists of
// the store say after that, and until it has started again.
func TestServerThatSaysItIsLeavingGetsNoMoreCalls(t *testing.T) {
	for name, head := range map[string]call.AnswerHead{
		"a success":                       {Status: 200, Leaving: true},
		"the head of a stream":            {Status: 200, Leaving: true, Stream: true, Length: -1},
		"an error":                        {Status: 500, Leaving: true},
		"a refusal":                       {Status: 503, Leaving: true, NotExecuted: true},
		"the answer of another instance":  {Status: 421, Leaving: true, WrongInstance: true},
		"a status that the caller caused": {Status: 404, Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := newStatedServers(map[string]call.AnswerHead{"s0": head})
				assert.NoError(t, servers.call(100))
				assert.Equal(t, 1, servers.calls["s0"])
				for range 3 {
					servers.list(1)
					time.Sleep(time.Minute)
					assert.NoError(t, servers.call(100))
				}
				assert.Equal(t, 1, servers.calls["s0"], "a list has the server still")
				servers.list(2)
				assert.NoError(t, servers.call(100))
				assert.Equal(t, 2, servers.calls["s0"], "it has started again, and says so again")
				assert.Len(t, servers.notices, 2, "one notice for each incarnation")
			})
		})
	}
}

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
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// result is what a server does with one call.
type result struct {
	head    call.AnswerHead
	body    string
	failure *call.Failure
	// cut is set for a body that ends with an error.
	cut bool
	// hang is set for a server that never answers.
	hang bool
}

// world is a small platform: servers that follow a script, one configuration, and a caller.
type world struct {
	script   []result
	sent     []call.Request
	servers  directory.Servers
	table    route.Table
	age      time.Duration
	begun    int
	head     call.AnswerHead
	body     strings.Builder
	suspects *rcu.Cell[suspect.Tracker]
}

func (world *world) Now() time.Duration         { return time.Minute }
func (world *world) RoutesAge() time.Duration   { return world.age }
func (world *world) Servers() directory.Servers { return world.servers }
func (world *world) MarkLeaving(id string, born int64) {
	world.servers = world.servers.WithLeaving(id, born, 0)
}
func (world *world) RecordStarted(string) { world.begun++ }
func (world *world) View() request.View {
	return request.View{Routes: world.table, Servers: world.servers, Age: world.age}
}
func (world *world) Begin(head call.AnswerHead) error { world.head = head; return nil }
func (world *world) Write(piece []byte) error         { world.body.Write(piece); return nil }

func (world *world) Open(ctx context.Context, server directory.Server, request call.Request, _ bool) (forward.Answer, *call.Failure) {
	next := result{head: call.AnswerHead{Status: 200}, body: "ok"}
	if len(world.sent) < len(world.script) {
		next = world.script[len(world.sent)]
	}
	world.sent = append(world.sent, request)
	if next.hang {
		<-ctx.Done()
		return nil, &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Peer: server.ID}
	}
	if next.failure != nil {
		if next.failure.Cause == call.CauseReset {
			world.restart(server)
		}
		return nil, next.failure
	}
	var reader io.Reader = strings.NewReader(next.body)
	if next.cut {
		reader = io.MultiReader(reader, brokenReader{})
	}
	return &answer{next.head, reader}, nil
}

// restart gives a server that went away another incarnation.
func (world *world) restart(server directory.Server) {
	listed := []directory.Server{}
	for _, known := range world.servers.All() {
		if known.ID == server.ID {
			known.StartedMs++
		}
		listed = append(listed, known)
	}
	world.servers = world.servers.WithSnapshot(directory.Snapshot[[]directory.Server]{Revision: world.servers.Revision() + 1, CurrentAt: time.Minute, Value: listed})
}

type brokenReader struct{}

func (brokenReader brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

type answer struct {
	head call.AnswerHead
	io.Reader
}

func (answer *answer) Head() call.AnswerHead { return answer.head }
func (answer *answer) Close()                {}

func newWorld(kind route.Kind, script ...result) *world {
	world := &world{script: script, suspects: rcu.New(suspect.Tracker{})}
	var listed []directory.Server
	for i := range 4 {
		listed = append(listed, directory.Server{ID: fmt.Sprint("s", i), Service: "engines", State: directory.StateReady, Slots: 4, StartedMs: 1})
	}
	world.servers = directory.Servers{}.WithSnapshot(directory.Snapshot[[]directory.Server]{Revision: 1, CurrentAt: time.Minute, Value: listed})
	found := route.Route{Name: "r", Host: "a", Prefix: "/", Kind: kind, Services: []route.WeightedService{{Service: "engines", Weight: 1}}, Attempts: 2, Timeout: 4 * time.Second, Resumable: kind == route.KindStream}
	open := found
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	world.table = route.NewTable(1, []route.Route{found, open}, []route.Service{{Name: "engines"}},
		[]route.Account{{Name: "desk", Keys: []string{"k"}, Limit: route.Limit{PerSecond: 1000, Burst: 1000}}}, route.Limits{})
	return world
}

// handle sends one call through the whole path.
func (world *world) handle(change func(*call.Opaque)) error {
	delivery := forward.NewDelivery(forward.Dependencies{
		Backends: world, Directory: world, Observations: forward.NewObservations(), Clock: world, Usage: world, Demand: forward.NewDemand(world),
		RetryBudgets: forward.NewRetryBudgets(10), CrashTracker: world.suspects,
		Revocation: forward.NewRevocation(world, func() time.Duration { return 4 * time.Second }),
	})
	path := request.Chain(delivery, forward.Match(world), forward.NewLimits(world).Limit(), forward.RefuseCrashing(world.suspects))
	opaque := call.Opaque{Method: "POST", Target: "/x", Path: "/x", Host: "a", Key: "k", Body: []byte("b")}
	if change != nil {
		change(&opaque)
	}
	_, err := path.Handle(context.Background(), request.Exchange{Reply: world, Request: call.Request{ID: "1", Arrived: time.Now(), Opaque: opaque}})
	return err
}

// outcome names an error as the front end would answer it.
func outcome(err error) string {
	var refusal *call.Refusal
	var failure *call.Failure
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &refusal):
		return "refused " + string(refusal.Reason)
	case errors.As(err, &failure):
		return "failed " + string(failure.Cause)
	}
	return err.Error()
}

// Guards against work that runs twice, a refusal of work that has run, and answers that are
// joined from two servers, for each way in which a server can fail.
func TestDeliveryThroughFailures(t *testing.T) {
	ok := result{head: call.AnswerHead{Status: 200}, body: "ok"}
	reset := result{failure: &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}}
	unsent := result{failure: &call.Failure{Ran: call.RanNot, Cause: call.CauseConnect}}
	declined := result{head: call.AnswerHead{Status: 503, NotExecuted: true}}
	other := result{head: call.AnswerHead{Status: 421, WrongInstance: true}}
	failed := result{head: call.AnswerHead{Status: 500}, body: "no"}
	stream := func(body string) result {
		return result{head: call.AnswerHead{Status: 200, Length: -1, Stream: true}, body: body}
	}
	cut := func(result result) result { result.cut = true; return result }
	cases := []struct {
		name   string
		kind   route.Kind
		script []result
		sent   int
		want   string
		body   string
	}{
		{"an order", route.KindNonIdempotent, []result{ok}, 1, "answered", "ok"},
		{"an order whose answer is lost", route.KindNonIdempotent, []result{reset}, 1, "failed Reset", ""},
		{"an order that was not sent", route.KindNonIdempotent, []result{unsent, ok}, 2, "answered", "ok"},
		{"an order that a server declined", route.KindNonIdempotent, []result{declined, ok}, 2, "answered", "ok"},
		{"an order that two servers declined", route.KindNonIdempotent, []result{declined, declined}, 2, "refused NoBackend", ""},
		{"an order at an address that another server has", route.KindNonIdempotent, []result{other, ok}, 2, "answered", "ok"},
		{"an order that a server failed", route.KindNonIdempotent, []result{failed}, 1, "answered", "no"},
		{"an order whose answer is cut", route.KindNonIdempotent, []result{cut(ok)}, 1, "failed Reset", ""},
		{"an order without an answer in time", route.KindNonIdempotent, []result{{hang: true}}, 1, "failed Timeout", ""},
		{"a lookup whose answer is lost", route.KindIdempotent, []result{reset, ok}, 2, "answered", "ok"},
		{"a lookup whose answer is cut", route.KindIdempotent, []result{cut(ok), ok}, 2, "answered", "ok"},
		{"a lookup that one server failed", route.KindIdempotent, []result{failed, ok}, 2, "answered", "ok"},
		{"a lookup that all servers failed", route.KindIdempotent, []result{failed, failed}, 2, "answered", "no"},
		{"a lookup whose answers are lost", route.KindIdempotent, []result{reset, reset}, 2, "failed Reset", ""},
		{"a stream", route.KindStream, []result{stream("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")}, 1, "answered", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"a stream that goes on elsewhere", route.KindStream, []result{cut(stream("id: 1\ndata: a\n\nid: 2\nda")), stream("id: 2\ndata: b\n\n")}, 2, "answered", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"a stream that does not go on", route.KindStream, []result{cut(stream("id: 1\ndata: a\n\n")), failed}, 2, "failed Malformed", "id: 1\ndata: a\n\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(c.kind, c.script...)
				assert.Equal(t, c.want, outcome(world.handle(nil)))
				assert.Len(t, world.sent, c.sent)
				assert.Equal(t, c.body, world.body.String())
			})
		})
	}
}

// Guards against a stream that repeats or skips events when it goes on at another server.
func TestResumedStreamNamesTheLastWholeEvent(t *testing.T) {
	world := newWorld(route.KindStream,
		result{head: call.AnswerHead{Status: 200, Stream: true}, body: "id: 7\ndata: a\n\nid: 8\ndat", cut: true},
		result{head: call.AnswerHead{Status: 200, Stream: true}, body: "id: 8\ndata: b\n\n"})
	require.NoError(t, world.handle(nil))
	assert.Empty(t, world.sent[0].Opaque.ResumeAfter)
	assert.Equal(t, "7", world.sent[1].Opaque.ResumeAfter)
}

// Guards against calls that run with a key that may have been taken away, and against
// verdicts on what a newer configuration may have.
func TestOldConfigurationRunsNoKeyedCall(t *testing.T) {
	cases := []struct {
		name   string
		age    time.Duration
		change func(*call.Opaque)
		want   string
	}{
		{"fresh", time.Second, nil, "answered"},
		{"old", 4100 * time.Millisecond, nil, "refused StoreOut"},
		{"old, without a key", time.Hour, func(opaque *call.Opaque) { opaque.Path, opaque.Key = "/open/x", "" }, "answered"},
		{"fresh, unknown key", time.Second, func(opaque *call.Opaque) { opaque.Key = "other" }, "refused Unauthenticated"},
		{"old, unknown key", 2 * time.Second, func(opaque *call.Opaque) { opaque.Key = "other" }, "refused StoreOut"},
		{"fresh, unknown host", time.Second, func(opaque *call.Opaque) { opaque.Host = "b" }, "refused UnknownRoute"},
		{"old, unknown host", 2 * time.Second, func(opaque *call.Opaque) { opaque.Host = "b" }, "refused StoreOut"},
	}
	for _, c := range cases {
		world := newWorld(route.KindNonIdempotent)
		world.age = c.age
		assert.Equal(t, c.want, outcome(world.handle(c.change)), c.name)
	}
	world := newWorld(route.KindNonIdempotent)
	world.table = route.Table{}
	assert.Equal(t, "refused Starting", outcome(world.handle(nil)))
}

// Guards against a call that takes down one server after the other.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	world := newWorld(route.KindIdempotent)
	reset := result{failure: &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}}
	world.script = []result{reset, reset, reset, reset, reset, reset}
	for range 4 {
		_ = world.handle(nil)
	}
	assert.Equal(t, "refused Quarantined", outcome(world.handle(nil)))
	assert.LessOrEqual(t, len(world.sent), 4)
	assert.Equal(t, "answered", outcome(world.handle(func(opaque *call.Opaque) {
		opaque.Body = []byte("another")
		world.script = nil
	})))
}

// Guards against usage that counts calls which did not run, or leaves out those that did.
func TestBegunCountsTheCallsThatRan(t *testing.T) {
	reset := result{failure: &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}}
	declined := result{head: call.AnswerHead{Status: 503, NotExecuted: true}}
	cut := result{head: call.AnswerHead{Status: 200, Stream: true}, body: "id: 1\ndata: a\n\n", cut: true}
	rest := result{head: call.AnswerHead{Status: 200, Stream: true}, body: "id: 2\ndata: b\n\n"}
	cases := []struct {
		name   string
		kind   route.Kind
		script []result
		want   int
	}{
		{"declined twice", route.KindIdempotent, []result{declined, declined}, 0},
		{"declined once", route.KindIdempotent, []result{declined}, 1},
		{"a lost answer", route.KindIdempotent, []result{reset}, 2},
		{"an order whose answer is cut", route.KindNonIdempotent, []result{cut}, 1},
		{"a stream that goes on elsewhere", route.KindStream, []result{cut, rest}, 2},
	}
	for _, c := range cases {
		world := newWorld(c.kind, c.script...)
		_ = world.handle(nil)
		assert.Equal(t, c.want, world.begun, c.name)
	}
}

package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// response is the scripted behaviour of a server for one call.
type response struct {
	head call.AnswerHead
	body string
	// reader takes the place of body, if it is set.
	reader  io.Reader
	failure *call.Failure
	// cut makes the read of the body end with an error.
	cut bool
	// hang makes the server not answer until ctx ends.
	hang bool
}

// environment implements all dependencies of a delivery: servers that follow a script, one
// configuration, and a caller.
type environment struct {
	script []response
	// sound is the answer to calls that the script does not have.
	sound response
	sent  []call.Request
	// sentTo are the ids of the servers that the calls in sent went to.
	sentTo       []string
	servers      directory.Servers
	table        route.Table
	age          time.Duration
	startedCalls int
	notices      []forward.NoticeKind
	// failures are the recorded failures, each as "SERVER CAUSE". Some tests send calls at the same time.
	failuresMutex sync.Mutex
	failures      []string
	head          call.AnswerHead
	body          strings.Builder
	// writeErr is the error of writing to the caller, nil for a caller that stays.
	writeErr    error
	crashes     *forward.Crashes
	partCrashes *forward.PartCrashes
	demand      *forward.Demand
	// decisions are those of the latest call.
	decisions []request.Decision
}

func (environment *environment) Now() time.Duration         { return time.Minute }
func (environment *environment) Servers() directory.Servers { return environment.servers }
func (environment *environment) MarkLeaving(id string, startedMs int64) bool {
	before := environment.servers.Generation()
	environment.servers = environment.servers.WithLeaving(id, startedMs, 0)
	return environment.servers.Generation() != before
}

func (environment *environment) RecordNotice(notice forward.Notice) {
	environment.notices = append(environment.notices, notice.Kind)
}

func (environment *environment) RecordFailure(server directory.Server, cause call.Cause) {
	environment.failuresMutex.Lock()
	defer environment.failuresMutex.Unlock()
	environment.failures = append(environment.failures, server.ID+" "+string(cause))
}
func (environment *environment) RecordStarted(string) { environment.startedCalls++ }
func (environment *environment) View() request.View {
	return request.View{Routes: environment.table, Servers: environment.servers, Age: environment.age}
}

func (environment *environment) Begin(head call.AnswerHead) error {
	environment.head = head
	return nil
}

func (environment *environment) Write(piece []byte) error {
	environment.body.Write(piece)
	return environment.writeErr
}

func (environment *environment) Open(ctx context.Context, server directory.Server, request call.Request, repeat func() bool) (forward.Answer, *call.Failure) {
	next := environment.sound
	if len(environment.sent) < len(environment.script) {
		next = environment.script[len(environment.sent)]
	}
	environment.sent, environment.sentTo = append(environment.sent, request), append(environment.sentTo, server.ID)
	if next.hang {
		<-ctx.Done()
		return nil, &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Peer: server.ID}
	}
	if next.failure != nil {
		if next.failure.Cause == call.CauseReset {
			environment.restart(server)
		}
		return nil, next.failure
	}
	var reader io.Reader = strings.NewReader(next.body)
	if next.reader != nil {
		reader = next.reader
	}
	if next.cut {
		reader = io.MultiReader(reader, brokenReader{})
	}
	return &answer{next.head, reader}, nil
}

// restart replaces a server that crashed by another incarnation.
func (environment *environment) restart(server directory.Server) {
	listed := []directory.Server{}
	for _, current := range environment.servers.All() {
		if current.ID == server.ID {
			current.StartedMs++
		}
		listed = append(listed, current)
	}
	environment.servers = environment.servers.WithSnapshot(directory.Snapshot[[]directory.Server]{Revision: environment.servers.Revision() + 1, CurrentAt: time.Minute, Value: listed})
}

type brokenReader struct{}

func (brokenReader brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

type answer struct {
	head call.AnswerHead
	io.Reader
}

func (answer *answer) Head() call.AnswerHead { return answer.head }
func (answer *answer) Close()                {}

func newEnvironment(kind route.Kind, script ...response) *environment {
	environment := &environment{script: script, sound: response{head: call.AnswerHead{Status: 200}, body: "ok"}, crashes: forward.NewCrashes(), partCrashes: forward.NewPartCrashes()}
	if kind == route.KindStream {
		environment.sound = response{head: call.AnswerHead{Status: 200, Length: -1, Stream: true}, body: "id: 1\ndata: ok\n\n"}
	}
	environment.demand = forward.NewDemand(environment)
	var listed []directory.Server
	for i := range 4 {
		listed = append(listed, directory.Server{ID: fmt.Sprint("s", i), Service: "engines", State: directory.StateReady, Slots: 4, StartedMs: 1})
	}
	environment.servers = directory.Servers{}.WithSnapshot(directory.Snapshot[[]directory.Server]{Revision: 1, CurrentAt: time.Minute, Value: listed})
	keyed := route.Route{Name: "r", Host: "a", Prefix: "/", Kind: kind, Services: []route.WeightedService{{Service: "engines", Weight: 1}}, Attempts: 2, Timeout: 4 * time.Second, Resumable: kind == route.KindStream}
	public := keyed
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	environment.table = route.NewTable(1, []route.Route{keyed, public}, []route.Service{{Name: "engines"}},
		[]route.Account{{Name: "desk", Keys: []string{"k"}, Limit: route.Limit{PerSecond: 1000, Burst: 1000}}}, route.Limits{})
	return environment
}

// delivery returns a delivery that depends on the environment.
func (environment *environment) delivery() *forward.Delivery {
	return forward.NewDelivery(environment.dependencies(environment))
}

// surroundings are the servers, the clock and the recorders of a delivery: an environment, or a type that embeds one and replaces some
// of its methods.
type surroundings interface {
	forward.BackendClient
	forward.Directory
	forward.Clock
	forward.UsageRecorder
	forward.NoticeRecorder
	forward.FailureRecorder
	request.ViewSource
}

// dependencies returns those of a delivery with the surroundings, and with the demand and the crashes of the environment.
func (environment *environment) dependencies(around surroundings) forward.Dependencies {
	return forward.Dependencies{
		Backends: around, Directory: around, Observations: forward.NewObservations(), Clock: around, Usage: around, Demand: environment.demand,
		Notices: around, Failures: around, RetryBudgets: forward.NewRetryBudgets(10), Admission: forward.NewAdmission(around), Crashes: environment.crashes, PartCrashes: environment.partCrashes,
		Revocation: forward.NewRevocation(around, func() time.Duration { return 4 * time.Second }),
	}
}

// handle sends one call through the whole chain of filters.
func (environment *environment) handle(change func(*call.Opaque)) error {
	path := request.Chain(environment.delivery(), forward.Match(environment), forward.NewLimits(environment).Filter(), environment.crashes.Filter())
	opaque := call.Opaque{Method: "POST", Target: "/x", Path: "/x", Host: "a", Key: "k", Body: []byte("b")}
	if change != nil {
		change(&opaque)
	}
	ended, err := path.Handle(context.Background(), request.Exchange{Reply: environment, Request: call.Request{ID: "1", Arrived: time.Now(), Opaque: opaque}})
	environment.decisions = ended.Decisions
	return err
}

// outcome returns the result of a call as a string: answered, refused or failed, with the
// reason or cause.
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

// Guards against calls that run twice without being repeatable, refusals of calls that ran, and
// answers that mix the bodies of two servers, for each way in which a server can fail.
func TestDeliveryThroughFailures(t *testing.T) {
	ok := response{head: call.AnswerHead{Status: 200}, body: "ok"}
	reset := response{failure: &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}}
	notSent := response{failure: &call.Failure{Ran: call.RanNo, Cause: call.CauseConnect}}
	declined := response{head: call.AnswerHead{Status: 503, NotExecuted: true}}
	wrongInstance := response{head: call.AnswerHead{Status: 421, WrongInstance: true}}
	failed := response{head: call.AnswerHead{Status: 500}, body: "no"}
	stream := func(body string) response {
		return response{head: call.AnswerHead{Status: 200, Length: -1, Stream: true}, body: body}
	}
	cut := func(response response) response { response.cut = true; return response }
	large := response{head: call.AnswerHead{Status: 200, Length: -1}, body: strings.Repeat("x", 300<<10)}
	cases := []struct {
		name   string
		kind   route.Kind
		script []response
		sent   int
		want   string
		body   string
	}{
		{"non-idempotent, answered", route.KindNonIdempotent, []response{ok}, 1, "answered", "ok"},
		{"non-idempotent whose answer is lost", route.KindNonIdempotent, []response{reset}, 1, "failed Reset", ""},
		{"non-idempotent that was not sent", route.KindNonIdempotent, []response{notSent, ok}, 2, "answered", "ok"},
		{"non-idempotent that a server declined", route.KindNonIdempotent, []response{declined, ok}, 2, "answered", "ok"},
		{"non-idempotent that two servers declined", route.KindNonIdempotent, []response{declined, declined}, 2, "refused NoBackend", ""},
		{"non-idempotent at an address that now belongs to another server", route.KindNonIdempotent, []response{wrongInstance, ok}, 2, "answered", "ok"},
		{"non-idempotent that a server failed", route.KindNonIdempotent, []response{failed}, 1, "answered", "no"},
		{"non-idempotent whose answer is cut", route.KindNonIdempotent, []response{cut(ok)}, 1, "failed Reset", ""},
		{"non-idempotent without an answer in time", route.KindNonIdempotent, []response{{hang: true}}, 1, "failed Timeout", ""},
		{"idempotent whose answer is lost", route.KindIdempotent, []response{reset, ok}, 2, "answered", "ok"},
		{"idempotent whose answer is cut", route.KindIdempotent, []response{cut(ok), ok}, 2, "answered", "ok"},
		{"idempotent that one server failed", route.KindIdempotent, []response{failed, ok}, 2, "answered", "ok"},
		{"idempotent that all servers failed", route.KindIdempotent, []response{failed, failed}, 2, "answered", "no"},
		{"idempotent whose answers are lost", route.KindIdempotent, []response{reset, reset}, 2, "failed Reset", ""},
		{"a stream of a plain service that is cut", route.KindIdempotent, []response{cut(stream("id: 1\ndata: a\n\n")), stream("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")}, 1, "failed Reset", "id: 1\ndata: a\n\n"},
		{"a large answer that is cut, then a stream", route.KindIdempotent, []response{cut(large), stream("data: b\n\n")}, 1, "failed Reset", large.body},
		{"a stream", route.KindStream, []response{stream("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")}, 1, "answered", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"a stream that resumes at another server", route.KindStream, []response{cut(stream("id: 1\ndata: a\n\nid: 2\nda")), stream("id: 2\ndata: b\n\n")}, 2, "answered", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"a stream that one server failed and the other one lost", route.KindStream, []response{failed, reset}, 2, "answered", "no"},
		{"a stream that one server failed and the other one cuts", route.KindStream, []response{failed, cut(stream("id: 1\ndata: a\n\n"))}, 2, "failed Reset", "id: 1\ndata: a\n\n"},
		{"a large answer that one server failed and the other one cuts", route.KindIdempotent, []response{failed, cut(large)}, 2, "failed Reset", large.body},
		{"a stream that the other server does not resume", route.KindStream, []response{cut(stream("id: 1\ndata: a\n\n")), failed}, 2, "failed Status", "id: 1\ndata: a\n\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				environment := newEnvironment(c.kind, c.script...)
				assert.Equal(t, c.want, outcome(environment.handle(nil)))
				assert.Len(t, environment.sent, c.sent)
				assert.Equal(t, c.body, environment.body.String())
			})
		})
	}
}

// Guards against a resumed stream that repeats or skips events, which happens if the retry
// carries the id of an event that the first server did not complete.
func TestResumedStreamSendsLastCompleteEventID(t *testing.T) {
	environment := newEnvironment(route.KindStream,
		response{head: call.AnswerHead{Status: 200, Stream: true}, body: "id: 7\ndata: a\n\nid: 8\ndat", cut: true},
		response{head: call.AnswerHead{Status: 200, Stream: true}, body: "id: 8\ndata: b\n\n"})
	require.NoError(t, environment.handle(nil))
	assert.Empty(t, environment.sent[0].Opaque.ResumeAfter)
	assert.Equal(t, "7", environment.sent[1].Opaque.ResumeAfter)
}

// Guards against calls that run with an access key that may have been revoked, and against
// definite refusals for routes or keys that a newer configuration may contain.
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
		environment := newEnvironment(route.KindNonIdempotent)
		environment.age = c.age
		assert.Equal(t, c.want, outcome(environment.handle(c.change)), c.name)
	}
	environment := newEnvironment(route.KindNonIdempotent)
	environment.table = route.Table{}
	assert.Equal(t, "refused Starting", outcome(environment.handle(nil)))
}

// Guards against a call that crashes one server after the other because each crash leads to a retry.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	environment := newEnvironment(route.KindIdempotent)
	reset := response{failure: &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}}
	environment.script = []response{reset, reset, reset, reset, reset, reset}
	for range 4 {
		_ = environment.handle(nil)
	}
	assert.Equal(t, "refused Quarantined", outcome(environment.handle(nil)))
	assert.LessOrEqual(t, len(environment.sent), 4)
	assert.Equal(t, "answered", outcome(environment.handle(func(opaque *call.Opaque) {
		opaque.Body = []byte("another")
		environment.script = nil
	})))
}

// Guards against usage that includes calls which did not run, or omits calls that did. Calls that were reset before their answer were
// counted, and when a server went down and up for six seconds, two windows were off by 6.8 and 7.2%.
func TestUsageCountsTheCallsThatRan(t *testing.T) {
	reset := response{failure: &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}}
	declined := response{head: call.AnswerHead{Status: 503, NotExecuted: true}}
	cut := response{head: call.AnswerHead{Status: 200, Stream: true}, body: "id: 1\ndata: a\n\n", cut: true}
	remainder := response{head: call.AnswerHead{Status: 200, Stream: true}, body: "id: 2\ndata: b\n\n"}
	cases := []struct {
		name   string
		kind   route.Kind
		script []response
		want   int
	}{
		{"declined twice", route.KindIdempotent, []response{declined, declined}, 0},
		{"declined once", route.KindIdempotent, []response{declined}, 1},
		{"a server that fails", route.KindIdempotent, []response{{head: call.AnswerHead{Status: 500}}}, 2},
		{"reset before the answer", route.KindIdempotent, []response{reset}, 1},
		{"non-idempotent whose answer is cut", route.KindNonIdempotent, []response{cut}, 1},
		{"a stream that resumes at another server", route.KindStream, []response{cut, remainder}, 2},
	}
	for _, c := range cases {
		environment := newEnvironment(c.kind, c.script...)
		_ = environment.handle(nil)
		assert.Equal(t, c.want, environment.startedCalls, c.name)
	}
}

// Guards against a call that is given up although servers are left: after a wave of crashes, the servers that refuse
// connections look idle and are chosen first.
func TestCallIsSentOnThroughAWaveOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := response{failure: &call.Failure{Ran: call.RanNo, Cause: call.CauseConnect}}
		environment := newEnvironment(route.KindNonIdempotent, refused, refused, refused, refused, refused, refused)
		require.NoError(t, environment.handle(nil))
		assert.Equal(t, 200, environment.head.Status)
		assert.Len(t, environment.sent, 7)
	})
}

// Guards against demand that counts a prompt for each server that did not read it: after a loss of many servers, far too many
// were ordered.
func TestPromptCountsOnceAsDemand(t *testing.T) {
	const tokens = 4000
	refused := response{failure: &call.Failure{Ran: call.RanNo, Cause: call.CauseConnect}}
	declined := response{head: call.AnswerHead{Status: 503, NotExecuted: true}}
	reset := response{failure: &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}}
	cases := []struct {
		name    string
		script  []response
		prompts float64
	}{
		{"first server answers", nil, 1},
		{"five servers refuse the connection", []response{refused, refused, refused, refused, refused}, 1},
		{"a server declines", []response{declined}, 1},
		{"a server may have read it", []response{reset}, 2},
	}
	for _, c := range cases {
		environment := newEnvironment(route.KindIdempotent, c.script...)
		require.NoError(t, environment.handle(func(opaque *call.Opaque) {
			opaque.Prompt = call.Prompt{Model: "m", Parts: []call.Part{{ID: "1", Tokens: tokens}}}
		}))
		// The measured demand is a sum over four seconds.
		assert.InDelta(t, c.prompts*tokens, 4*environment.demand.TokensPerSecond()["engines"], 1, c.name)
	}
}

package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/attempt"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/overload"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/sharing"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/eventstream"
)

// StepDeliver is the step of [Delivery] in decisions and failures.
const StepDeliver = "deliver"

// noServerRetryAfter is the time after which the caller of a call without an available
// server may retry.
const noServerRetryAfter = 400 * time.Millisecond

// rejectedDemandShare is the part of a rejected call that counts as demand, since its caller usually comes back, and the
// call then counts again.
const rejectedDemandShare = 0.5

// BackendClient sends calls to backend servers.
type BackendClient interface {
	// Open sends the call and returns when the head of the answer has arrived. The call is
	// cancelled when ctx ends. It is sent again on another connection to the server only if repeat is not nil and returns
	// true; repeat is nil for a call that may run only once.
	Open(ctx context.Context, server directory.Server, request call.Request, repeat func() bool) (Answer, *call.Failure)
}

// Answer is a server's answer whose head has arrived.
type Answer interface {
	// Head returns the status and header.
	Head() call.AnswerHead
	// Read returns [io.EOF] after the last byte of a complete answer. Together with any other error it returns no bytes. The error wraps
	// [call.ErrMalformed] if the server wrote bytes that are no part of the answer.
	Read(piece []byte) (int, error)
	// Close cancels the call at the server unless the answer is complete.
	Close()
}

// Directory lists the backend servers and records which of them are leaving.
type Directory interface {
	// Servers returns the current snapshot.
	Servers() directory.Servers
	// MarkLeaving records that an incarnation of a server accepts no more work; startedMs is
	// the start of the incarnation in milliseconds since 1970. It reports whether that was not known before.
	MarkLeaving(id string, startedMs int64) bool
}

// UsageRecorder counts the calls that started to run, by client account.
type UsageRecorder interface {
	// RecordStarted counts one call of an account, empty for a call without one, when the head of its answer arrives. A
	// call that was reset before that is not counted, since most such calls have not begun to run: their servers
	// crashed, restarted or had too many connections.
	RecordStarted(account string)
}

// Dependencies are the components on which a [Delivery] depends.
type Dependencies struct {
	Backends     BackendClient
	Directory    Directory
	Observations *Observations
	Clock        Clock
	Usage        UsageRecorder
	Demand       *Demand
	// Events is the form of the events of streaming routes.
	Events eventstream.Grammar
	// Notices records what servers say about themselves in answers.
	Notices NoticeRecorder
	// Failures counts the failed attempts by server.
	Failures FailureRecorder
	// RetryBudgets bounds the retries by service.
	RetryBudgets *RetryBudgets
	// Admission rejects calls that the engines of a service could not answer in time.
	Admission *Admission
	// Sharing rejects calls by their priority while the servers of a service cannot do all the work; nil for none.
	Sharing *Sharing
	// Crashes records the calls during which servers apparently crashed.
	Crashes *Crashes
	// PartCrashes records the parts of prompts with which servers apparently crashed.
	PartCrashes *PartCrashes
	// Estimates holds the work of calls. Nil stands for estimates without a recorder.
	Estimates *Estimates
	// Revocation is checked right before each attempt is sent.
	Revocation Revocation
	// Rollouts restricts the servers by their versions; nil restricts nothing.
	Rollouts *Rollouts
}

// Delivery sends a call to a server and retries it where the route and the retry budget
// allow that. It is the last handler of the chain.
type Delivery struct {
	dependencies Dependencies
}

// NewDelivery returns a delivery with the given dependencies.
func NewDelivery(dependencies Dependencies) *Delivery {
	if dependencies.Estimates == nil {
		dependencies.Estimates = NewEstimates(nil)
	}
	return &Delivery{dependencies: dependencies}
}

// Handle passes the answer of a server to the reply of the exchange.
//
// A [*call.Refusal] means that the call did not run, and a [*call.Failure] that it may
// have run. Any other error comes from writing to the caller.
func (delivery *Delivery) Handle(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
	service, ok := exchange.Route.PickService(rand.Float64())
	if !ok {
		return exchange, refusalWithoutService(exchange.Route.Name).WithRetryAfter(noServerRetryAfter)
	}
	delivery.dependencies.RetryBudgets.RecordCall(service)
	callWork := newCallWork(delivery.dependencies, exchange)
	admitted, refusal := delivery.admit(exchange, service, callWork.estimate)
	if refusal != nil {
		return exchange, refusal
	}
	defer admitted.end()
	delivery.dependencies.Rollouts.RecordCall(service, exchange.Route.Name)
	relay := &relay{
		reply: timedReply{exchange.Reply, callWork}, checksEvents: exchange.Route.Kind == route.KindStream,
		grammar: delivery.dependencies.Events, eventIDs: stream.ResumeAfter(exchange.Request.Opaque.ResumeAfter),
	}
	defer callWork.record()
	admittedDelivery := &admittedDelivery{Delivery: delivery, service: service, callWork: callWork, relay: relay, admitted: admitted}
	return admittedDelivery.deliver(ctx, exchange)
}

// admit returns the call as one that waits for servers of the service, or a refusal. A plain service itself rejects calls beyond
// its queue, so that a call to it is subject to sharing only.
func (delivery *Delivery) admit(exchange request.Exchange, name string, estimate work.Estimate) (*AdmittedCall, *call.Refusal) {
	service, _ := exchange.View.Routes.Service(name)
	class, timeLeft := sharing.ClassOf(exchange.Route, exchange.ClientAccount), time.Until(exchange.Request.Deadline)
	shared, refusal := delivery.dependencies.Sharing.Admit(name, class, sharing.WorkOf(exchange.Request.Opaque.Prompt, service.IsEngine()), timeLeft)
	admitted := &AdmittedCall{}
	if refusal == nil && service.IsEngine() {
		if admitted, refusal = delivery.dependencies.Admission.Admit(name, overloadCall(exchange, shared)); refusal != nil {
			refusal = shared.withRetryAfter(refusal, timeLeft)
		}
	}
	if refusal == nil {
		admitted.shared = shared.started()
		return admitted, nil
	}
	// Rejected calls count as demand: otherwise no servers would be ordered for them.
	servers := delivery.dependencies.Rollouts.selectServers(delivery.dependencies.Directory.Servers(), name, exchange.Route.Name, false).preferred
	if choice, err := delivery.choose(exchange, name, servers, estimate, attempt.State{}); service.IsEngine() && err == nil {
		delivery.dependencies.Demand.AddPrompt(name, int(rejectedDemandShare*float64(choice.UncachedTokens)))
	}
	return nil, refusal
}

// overloadCall returns the properties of a call that its admission depends on. Shared is nil for a call that is not subject to sharing.
func overloadCall(exchange request.Exchange, shared *SharedCall) overload.Call {
	return overload.Call{
		Target: exchange.Route.Target, TimeLeft: time.Until(exchange.Request.Deadline), HasRoom: shared.hasRoom(), LowerPriority: shared.lowerPriority(),
	}
}

// refusalWithoutService returns the refusal of a call of a route that names no service.
func refusalWithoutService(route string) *call.Refusal {
	return call.Refuse(call.ReasonNoBackend, "route %s has no backend service with a positive weight", route)
}

// refusalWithoutServer returns the refusal of a call to a service of which no server takes it.
func refusalWithoutServer(service string) *call.Refusal {
	return call.Refuse(call.ReasonNoBackend, "service %s has no backend server that accepts work", service)
}

// refusalOf returns the refusal for the failure of a call that did not run.
func refusalOf(failure *call.Failure) *call.Refusal {
	reason := call.ReasonNoBackend
	if failure.Cause == call.CauseTimeout {
		reason = call.ReasonDeadline
	}
	return call.Refuse(reason, "%s", failure.Error()).WithRetryAfter(noServerRetryAfter)
}

// choose picks one of the servers for the next attempt and checks the access key. The attempt must
// be sent at once, since the check applies only to this moment.
func (delivery *Delivery) choose(
	exchange request.Exchange, name string, servers []directory.Server, estimate work.Estimate, state attempt.State,
) (placement.Choice, error) {
	service, _ := exchange.View.Routes.Service(name)
	candidates := delivery.dependencies.Observations.Candidates(servers)
	query := delivery.query(exchange, service, estimate)
	choice, ok := placement.Choose(candidates, query)
	if !ok && len(exchange.TriedServers) > 0 {
		query.Tried = nil // A server that declined the call may have a free slot by now.
		choice, ok = placement.Choose(candidates, query)
	}
	if refusal := delivery.dependencies.Revocation.Check(exchange); refusal != nil {
		return choice, failureIfRan(state, refusal)
	}
	if refusal := delivery.dependencies.PartCrashes.Check(exchange.Request.Opaque.Prompt); refusal != nil {
		return choice, failureIfRan(state, refusal)
	}
	if choice.Reason == placement.ReasonAllClosed {
		refusal := call.Refuse(call.ReasonNoBackend, "all backend servers of service %s have asked for no calls, the first one for %v more", name, choice.Wait)
		return choice, failureIfRan(state, refusal.WithRetryAfter(choice.Wait))
	}
	if !ok {
		return choice, failureIfRan(state, refusalWithoutServer(name).WithRetryAfter(noServerRetryAfter))
	}
	return choice, nil
}

// query returns the properties of a call for the choice of a server.
func (delivery *Delivery) query(exchange request.Exchange, service route.Service, estimate work.Estimate) placement.Query {
	query := placement.Query{
		Now:    delivery.dependencies.Clock.Now(),
		Prompt: exchange.Request.Opaque.Prompt,
		Engine: service.IsEngine(),
		Tried:  exchange.TriedServers,
		Draw:   rand.Float64(),
		Sample: delivery.dependencies.Observations.Sample(),
		Work:   estimate,
	}
	if !exchange.Request.Deadline.IsZero() {
		query.TimeLeft = max(1, time.Until(exchange.Request.Deadline))
	}
	return query
}

// failureIfRan returns the refusal if no earlier attempt may have run, and otherwise a
// failure with the same detail.
func failureIfRan(state attempt.State, refusal *call.Refusal) error {
	if !state.MayHaveRun() {
		return refusal
	}
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: StepDeliver, Detail: refusal.Detail}
}

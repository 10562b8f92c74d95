package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/attempt"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StepDeliver names the delivery in decisions and failures.
const StepDeliver = "deliver"

// noServerWait is when a call may come again that found no server.
const noServerWait = 400 * time.Millisecond

// BackendClient sends calls to backend servers.
type BackendClient interface {
	// Open returns once the head of the answer is there. The end of ctx cancels the call.
	Open(ctx context.Context, server directory.Server, request call.Request, repeatable bool) (Answer, *call.Failure)
}

// Answer is an answer whose head is there.
type Answer interface {
	Head() call.AnswerHead
	// Read returns [io.EOF] after the last byte of a complete answer.
	Read(piece []byte) (int, error)
	// Close ends the work at the server, unless the answer is complete.
	Close()
}

// Directory gives and takes what is known of the servers.
type Directory interface {
	Servers() directory.Servers
	// MarkLeaving notes that an incarnation does not take work any more.
	MarkLeaving(id string, born int64)
}

// UsageRecorder takes note of calls that began to run.
type UsageRecorder interface {
	RecordStarted(account string)
}

// Dependencies are what a delivery works with.
type Dependencies struct {
	Backends     BackendClient
	Directory    Directory
	Observations *Observations
	Clock        Clock
	Usage        UsageRecorder
	Demand       *Demand
	// RetryBudgets bounds the repeats by service.
	RetryBudgets *RetryBudgets
	// CrashTracker are the calls under which servers went away.
	CrashTracker *rcu.Cell[suspect.Tracker]
	// Revocation is asked right before each sending.
	Revocation Revocation
}

// Delivery sends a call to a server, and again where that is allowed; it is the last handler of the path.
type Delivery struct {
	parts Dependencies
}

// NewDelivery returns a delivery of those parts.
func NewDelivery(parts Dependencies) *Delivery { return &Delivery{parts: parts} }

// Handle passes the answer of a server to the reply of the exchange.
func (delivery *Delivery) Handle(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
	name, ok := exchange.Route.PickService(rand.Float64())
	if !ok {
		return exchange, call.Refuse(call.ReasonNoBackend, "route %s has no service", exchange.Route.Name).WithRetryAfter(noServerWait)
	}
	delivery.parts.RetryBudgets.RecordCall(name)
	relay := &relay{reply: exchange.Reply, resumable: exchange.Route.Resumable, after: exchange.Request.Opaque.ResumeAfter}
	state := attempt.New(exchange.Route, exchange.Request.Deadline)
	for {
		choice, err := delivery.choose(exchange, name, state)
		if err != nil {
			return exchange, err
		}
		exchange = exchange.WithTarget(choice.Server).WithTried(choice.Server.ID).WithDecision(request.Decision{
			At: time.Now(), Step: StepDeliver, Reason: string(choice.Reason), Peer: choice.Server.ID,
		})
		failure := delivery.try(ctx, exchange, choice, relay, state)
		if failure == nil {
			return exchange, relay.gone
		}
		exchange = exchange.WithDecision(request.Decision{
			At: time.Now(), Step: failure.Step, Reason: string(failure.Cause) + string(failure.Ran), Peer: failure.Peer, Detail: failure.Detail,
		})
		var verdict attempt.Verdict
		state, verdict = state.WithFailure(failure, time.Now())
		if verdict == attempt.VerdictRetry && state.ReachedServer() > 0 && !delivery.parts.RetryBudgets.Spend(name) {
			verdict = end(state)
		}
		switch {
		case verdict == attempt.VerdictRetry:
			exchange.Request.Opaque.ResumeAfter = relay.after
		case relay.kept != nil:
			return exchange, relay.flush()
		case verdict == attempt.VerdictRefuse && !relay.begun:
			return exchange, refusal(failure)
		default:
			return exchange, failure
		}
	}
}

func end(state attempt.State) attempt.Verdict {
	if state.MayHaveRun() {
		return attempt.VerdictFail
	}
	return attempt.VerdictRefuse
}

func refusal(failure *call.Failure) *call.Refusal {
	reason := call.ReasonNoBackend
	if failure.Cause == call.CauseTimeout {
		reason = call.ReasonDeadline
	}
	return call.Refuse(reason, "%s", failure.Error()).WithRetryAfter(noServerWait)
}

// choose picks the server of the next try, which is sent at once.
func (delivery *Delivery) choose(exchange request.Exchange, name string, state attempt.State) (placement.Choice, error) {
	service, _ := exchange.View.Routes.Service(name)
	candidates := delivery.parts.Observations.Candidates(delivery.parts.Directory.Servers().Of(name))
	query := placement.Query{
		Now:    delivery.parts.Clock.Now(),
		Prompt: exchange.Request.Opaque.Prompt,
		Engine: service.IsEngine(),
		Tried:  exchange.Tried,
		Draw:   rand.Float64(),
	}
	choice, ok := placement.Choose(candidates, query)
	if !ok && len(exchange.Tried) > 0 {
		query.Tried = nil // A server that declined may have room again.
		choice, ok = placement.Choose(candidates, query)
	}
	if refusal := delivery.parts.Revocation.Check(exchange); refusal != nil {
		return choice, instead(state, refusal)
	}
	if !ok {
		return choice, instead(state, call.Refuse(call.ReasonNoBackend, "service %s has no server", name).WithRetryAfter(noServerWait))
	}
	return choice, nil
}

// instead returns a failure in place of a refusal when the call may have run.
func instead(state attempt.State, refusal *call.Refusal) error {
	if !state.MayHaveRun() {
		return refusal
	}
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: StepDeliver, Detail: refusal.Detail}
}

// try sends the call to the chosen server and relays its answer.
func (delivery *Delivery) try(ctx context.Context, exchange request.Exchange, choice placement.Choice, relay *relay, state attempt.State) *call.Failure {
	server, tracks := choice.Server, delivery.parts.Observations
	tracks.Update(server, func(observation placement.Observation) placement.Observation {
		return observation.WithSent(choice.UncachedTokens)
	})
	defer tracks.Update(server, placement.Observation.WithEnd)
	sent, alone := time.Now(), delivery.alone(server)
	delivery.parts.Demand.AddPrompt(server.Service, choice.UncachedTokens)
	begun := false
	read := func() {
		if !begun {
			begun = true
			tracks.Update(server, func(observation placement.Observation) placement.Observation {
				return observation.WithPromptRead(choice.UncachedTokens)
			})
		}
	}
	defer read()
	answer, failure := delivery.parts.Backends.Open(ctx, server, exchange.Request, exchange.Route.Repeatable())
	counted := false
	if failure == nil {
		defer answer.Close()
		read()
		delivery.began(exchange, choice, time.Since(sent), alone)
		failure = delivery.accept(exchange, answer)
		counted = failure == nil
	}
	if failure == nil {
		last := !exchange.Route.Repeatable() || state.ReachedServer()+1 >= max(1, exchange.Route.Attempts)
		failure = relay.pass(answer, last)
	}
	if failure != nil && ctx.Err() != nil {
		failure = &call.Failure{Ran: failure.Ran, Cause: ended(ctx), Step: StepDeliver, Peer: server.ID, Detail: failure.Detail}
	}
	if failure != nil && failure.Cause == call.CauseReset && failure.Ran != call.RanNot && !counted {
		delivery.parts.Usage.RecordStarted(exchange.ClientAccount.Name)
	}
	delivery.learn(exchange, failure)
	return failure
}

// began notes how long the server took to begin.
func (delivery *Delivery) began(exchange request.Exchange, choice placement.Choice, took time.Duration, alone bool) {
	server, demand := choice.Server, delivery.parts.Demand
	if alone {
		demand.RecordPrefill(server.Service, choice.UncachedTokens, took)
	}
	ratio := demand.LatencyRatio(exchange.Route.Name, choice.UncachedTokens, took)
	now := delivery.parts.Clock.Now()
	delivery.parts.Observations.Update(server, func(observation placement.Observation) placement.Observation {
		return observation.WithAnswer(ratio, now)
	})
}

// alone reports that the entry has no other call in progress at the server.
func (delivery *Delivery) alone(server directory.Server) bool {
	return delivery.parts.Observations.Candidates([]directory.Server{server})[0].Observation.Running() == 1
}

// ended returns the cause of a try that ended with its context.
func ended(ctx context.Context) call.Cause {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return call.CauseTimeout
	}
	return call.CauseCancelled
}

// accept looks at the head of an answer.
func (delivery *Delivery) accept(exchange request.Exchange, answer Answer) *call.Failure {
	head, server := answer.Head(), exchange.Target
	if head.Load != (call.ServerLoad{}) {
		now := delivery.parts.Clock.Now()
		delivery.parts.Observations.Update(server, func(observation placement.Observation) placement.Observation {
			return observation.WithLoad(head.Load, now)
		})
	}
	switch {
	case head.WrongInstance:
		delivery.parts.Directory.MarkLeaving(server.ID, server.StartedMs)
		return &call.Failure{Ran: call.RanNot, Cause: call.CauseConnect, Step: StepDeliver, Peer: server.ID, Detail: "another server has the address"}
	case head.NotExecuted:
		return &call.Failure{Ran: call.RanNot, Cause: call.CauseBusy, Step: StepDeliver, Peer: server.ID, Detail: "the server declined to run the call"}
	}
	delivery.parts.Usage.RecordStarted(exchange.ClientAccount.Name)
	return nil
}

// learn notes what the end of a try tells of the server.
func (delivery *Delivery) learn(exchange request.Exchange, failure *call.Failure) {
	now, server := delivery.parts.Clock.Now(), exchange.Target
	if failure == nil {
		return
	}
	switch failure.Cause {
	case call.CauseConnect:
		delivery.parts.Observations.Update(server, func(observation placement.Observation) placement.Observation {
			return observation.WithConnectFailure(now)
		})
	case call.CauseReset, call.CauseMalformed, call.CauseBusy, call.CauseStatus:
		delivery.parts.Observations.Update(server, func(observation placement.Observation) placement.Observation { return observation.WithFailure(now) })
	}
	if failure.Cause == call.CauseReset && failure.Ran != call.RanNot {
		recordCrash(delivery.parts.CrashTracker, exchange)
	}
}

package handover

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StepHandover names the handover in decisions and errors.
const StepHandover = "handover"

// Filter hands completions over when this entry leaves, and takes up repeats of those of other entries.
func (own *Handover) Filter() request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			if exchange.Service.Protocol != config.ProtocolEngine {
				return next.Handle(ctx, exchange)
			}
			exchange, state, err := own.takeUp(ctx, exchange)
			if err != nil {
				return exchange, err
			}
			return own.follow(ctx, exchange, state, next)
		})
	}
}

// takeUp returns the state of a request; that of a repeat is the one that another entry handed over.
func (own *Handover) takeUp(ctx context.Context, exchange request.Exchange) (request.Exchange, handover.State, error) {
	next := exchange.Request
	fresh := handover.NewState(next.ID, next.Account, "", next.Completion.Resume.Tokens)
	if !next.Named {
		return exchange, fresh, nil
	}
	found := own.find(ctx, func() handover.Query { return queryOf(next) }, next.ID)
	if found.verdict == handover.VerdictMissing && found.asked == 0 {
		return exchange, fresh, nil
	}
	exchange = exchange.WithDecision(request.Decision{
		At: time.Now(), Step: StepHandover, Reason: string(found.verdict), Peer: found.peer,
		Detail: fmt.Sprintf("%d peers asked, %d tokens relayed before, the caller has %d", found.asked, found.state.Tokens(), next.Received),
	})
	switch found.verdict {
	case handover.VerdictTaken:
		return exchange, found.state, sendRest(ctx, exchange, found.state)
	case handover.VerdictMissing:
		return exchange, fresh, nil
	}
	return exchange, fresh, refusal(found.verdict, next)
}

// sendRest sends the chunks that the caller lacks of those relayed before.
func sendRest(ctx context.Context, exchange request.Exchange, state handover.State) error {
	rest, _ := state.ChunksAfter(exchange.Request.Received)
	for _, chunk := range rest {
		if err := exchange.Sink.Send(ctx, chunk); err != nil {
			return err
		}
	}
	return nil
}

func refusal(verdict handover.Verdict, next call.Request) *call.Refusal {
	switch verdict {
	case handover.VerdictOtherAccount:
		return call.Refuse(call.ReasonKeyConflict, "X-Request-Id %s belongs to a request of another client account", next.ID)
	case handover.VerdictOtherBody:
		return call.Refuse(call.ReasonKeyConflict, "X-Request-Id %s belongs to a request with another body", next.ID)
	}
	return call.Refuse(call.ReasonMalformed, "Last-Event-ID %d is no event of request %s", next.Received, next.ID)
}

// follow passes the request on, and gives its state to a peer when the entry leaves before the end.
func (own *Handover) follow(ctx context.Context, exchange request.Exchange, state handover.State, next request.Handler) (request.Exchange, error) {
	running, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-own.leaving:
			cancel(errLeaving)
		case <-running.Done():
		}
	}()
	recorder := &recorder{sink: exchange.Sink, state: state}
	first := exchange.Request
	resumed := exchange.WithSink(recorder)
	if state.Relayed() {
		resumed = resumed.WithRequest(first.WithResume(state.Resume(first.Completion.Resume)))
	}
	result, err := next.Handle(running, resumed)
	result = result.WithSink(exchange.Sink).WithRequest(first)
	if err == nil || recorder.finished || !errors.Is(context.Cause(running), errLeaving) {
		return result, err
	}
	return own.interrupted(ctx, result, recorder.state)
}

// interrupted gives the state of an ended try to a peer; a state without tokens would save nothing.
func (own *Handover) interrupted(ctx context.Context, exchange request.Exchange, state handover.State) (request.Exchange, error) {
	decision := request.Decision{At: time.Now(), Step: StepHandover, Reason: "NothingRelayed"}
	held := false
	if state.Relayed() {
		decision.Peer, held = own.hand(ctx, state.WithBodyHash(BodyHash(exchange.Request)))
		decision.Reason = "NotHeld"
	}
	if held {
		decision.Reason = "HandedOver"
	}
	decision.Detail = strconv.Itoa(state.Tokens()) + " tokens relayed"
	return exchange.WithDecision(decision), &handover.Interruption{
		ID: state.ID, Tokens: state.Tokens(), Held: held, RetryAfter: retryAfter,
	}
}

// recorder is a sink that notes the chunks, which arrive one after another.
type recorder struct {
	sink     request.Sink
	state    handover.State
	finished bool
}

// Send notes a chunk and passes it on.
//
// A chunk whose delivery failed is part of the state too: the caller's repeat
// states what it has.
func (recorder *recorder) Send(ctx context.Context, chunk call.Chunk) error {
	if chunk.Final {
		recorder.finished = true
	}
	if chunk.Tokens > 0 && !chunk.Final {
		recorder.state = recorder.state.WithChunk(chunk)
	}
	return recorder.sink.Send(ctx, chunk)
}

func queryOf(next call.Request) handover.Query {
	return handover.Query{ID: next.ID, Account: next.Account, BodyHash: BodyHash(next), Received: next.Received}
}

// BodyHash covers everything that makes two completions different.
func BodyHash(next call.Request) string {
	hash := sha256.New()
	completion := next.Completion
	for _, part := range []string{next.Service, strconv.FormatBool(completion.Chat), strconv.FormatBool(next.Stream), completion.Prompt, completion.Resume.Text} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	hash.Write(completion.Parameters)
	return hex.EncodeToString(hash.Sum(nil))
}

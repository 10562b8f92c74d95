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
	decide "github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StepHandover is the step of [Handover.Filter] in decisions and errors.
const StepHandover = "handover"

// Filter returns a filter that hands over completions in progress when this entry leaves,
// and resumes repeated requests whose completions other entries handed over.
func (handover *Handover) Filter() request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			if exchange.Service.Protocol != config.ProtocolEngine {
				return next.Handle(ctx, exchange)
			}
			exchange, state, err := handover.takeState(ctx, exchange)
			if err != nil {
				return exchange, err
			}
			return handover.handle(ctx, exchange, state, next)
		})
	}
}

// takeState returns the state that a request starts from: the state that another entry
// handed over, after sending the chunks that the caller lacks, or else an empty state. It
// returns a refusal if a state exists but the request must not resume it.
func (handover *Handover) takeState(ctx context.Context, exchange request.Exchange) (request.Exchange, decide.State, error) {
	incoming := exchange.Request
	initialState := decide.NewState(incoming.ID, incoming.Account, "", incoming.Completion.Resume.Tokens)
	if !incoming.Named {
		return exchange, initialState, nil
	}
	result := handover.findState(ctx, func() decide.Query { return newQuery(incoming) }, incoming.ID)
	if result.verdict == decide.VerdictMissing && result.peersQueried == 0 {
		return exchange, initialState, nil
	}
	exchange = exchange.WithDecision(request.Decision{
		At: time.Now(), Step: StepHandover, Reason: string(result.verdict), Peer: result.peer,
		Detail: fmt.Sprintf("%d peers queried, %d tokens relayed before, %d tokens received by the caller", result.peersQueried, result.state.Tokens(), incoming.Received),
	})
	switch result.verdict {
	case decide.VerdictTaken:
		return exchange, result.state, sendMissingChunks(ctx, exchange, result.state)
	case decide.VerdictMissing:
		return exchange, initialState, nil
	}
	return exchange, initialState, newRefusal(result.verdict, incoming)
}

// sendMissingChunks sends the chunks of the state that the caller has not received.
func sendMissingChunks(ctx context.Context, exchange request.Exchange, state decide.State) error {
	chunks, _ := state.ChunksAfter(exchange.Request.Received)
	for _, chunk := range chunks {
		if err := exchange.Sink.Send(ctx, chunk); err != nil {
			return err
		}
	}
	return nil
}

// newRefusal returns the refusal of a request that has the id of a state but must not resume it.
func newRefusal(verdict decide.Verdict, incoming call.Request) *call.Refusal {
	switch verdict {
	case decide.VerdictOtherAccount:
		return call.Refuse(call.ReasonKeyConflict, "X-Request-Id %s belongs to a request of another client account", incoming.ID)
	case decide.VerdictOtherBody:
		return call.Refuse(call.ReasonKeyConflict, "X-Request-Id %s belongs to a request with another body", incoming.ID)
	}
	return call.Refuse(call.ReasonMalformed, "Last-Event-ID %d does not match an event of request %s", incoming.Received, incoming.ID)
}

// handle passes the request to next and records the relayed chunks in the state. If this
// entry leaves before the answer is complete, it cancels the completion and sends the state
// to a peer.
func (handover *Handover) handle(ctx context.Context, exchange request.Exchange, state decide.State, next request.Handler) (request.Exchange, error) {
	running, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-handover.leaving:
			cancel(errLeaving)
		case <-running.Done():
		}
	}()
	recorder := &recorder{sink: exchange.Sink, state: state}
	original := exchange.Request
	resumed := exchange.WithSink(recorder)
	if state.Relayed() {
		resumed = resumed.WithRequest(original.WithResume(state.Resume(original.Completion.Resume)))
	}
	result, err := next.Handle(running, resumed)
	result = result.WithSink(exchange.Sink).WithRequest(original)
	if err == nil || recorder.finished || !errors.Is(context.Cause(running), errLeaving) {
		return result, err
	}
	return handover.interrupt(ctx, result, recorder.state)
}

// interrupt sends the state of a cancelled completion to a peer and returns a
// [decide.Interruption]. A state without tokens is not sent, because it would save nothing.
func (handover *Handover) interrupt(ctx context.Context, exchange request.Exchange, state decide.State) (request.Exchange, error) {
	decision := request.Decision{At: time.Now(), Step: StepHandover, Reason: "NothingRelayed"}
	held := false
	if state.Relayed() {
		decision.Peer, held = handover.handOver(ctx, state.WithBodyHash(BodyHash(exchange.Request)))
		decision.Reason = "NotHeld"
	}
	if held {
		decision.Reason = "HandedOver"
	}
	decision.Detail = strconv.Itoa(state.Tokens()) + " tokens relayed"
	return exchange.WithDecision(decision), &decide.Interruption{
		ID: state.ID, Tokens: state.Tokens(), Held: held, RetryAfter: retryAfter,
	}
}

// recorder is a sink that adds the chunks of an answer to its state. The chunks arrive
// sequentially, so it needs no lock.
type recorder struct {
	sink     request.Sink
	state    decide.State
	finished bool
}

// Send records a chunk and passes it on.
//
// A chunk whose delivery failed is recorded too, because the repeated request reports
// how many tokens the caller has received.
func (recorder *recorder) Send(ctx context.Context, chunk call.Chunk) error {
	if chunk.Final {
		recorder.finished = true
	}
	if chunk.Tokens > 0 && !chunk.Final {
		recorder.state = recorder.state.WithChunk(chunk)
	}
	return recorder.sink.Send(ctx, chunk)
}

func newQuery(incoming call.Request) decide.Query {
	return decide.Query{ID: incoming.ID, Account: incoming.Account, BodyHash: BodyHash(incoming), Received: incoming.Received}
}

// BodyHash returns the SHA-256 hash, in hexadecimal, of everything in a request that
// distinguishes its completion from others.
func BodyHash(incoming call.Request) string {
	hash := sha256.New()
	completion := incoming.Completion
	for _, part := range []string{incoming.Service, strconv.FormatBool(completion.Chat), strconv.FormatBool(incoming.Stream), completion.Prompt, completion.Resume.Text} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	hash.Write(completion.Parameters)
	return hex.EncodeToString(hash.Sum(nil))
}

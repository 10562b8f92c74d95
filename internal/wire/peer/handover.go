package peer

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	pipehandover "github.com/rosemaryspar/rosemaryspar/internal/pipe/handover"
)

// The steps of a handover in the errors of a client.
const (
	StepHold = "peer hold"
	StepTake = "peer take"
)

var errChunkMismatch = errors.New("malformed handover: the chunks do not match the text")

// HandoverStore stores the completions of leaving entries.
type HandoverStore interface {
	// Hold stores a state and returns VerdictHeld, or the reason why it was not stored.
	Hold(state handover.State) handover.Verdict
	// Take removes and returns a state with VerdictTaken, or returns the reason why there is none.
	Take(query handover.Query) (handover.State, handover.Verdict)
}

var verdictToProto = map[handover.Verdict]Verdict{
	handover.VerdictHeld:         Verdict_VERDICT_HELD,
	handover.VerdictFull:         Verdict_VERDICT_FULL,
	handover.VerdictLeaving:      Verdict_VERDICT_LEAVING,
	handover.VerdictTaken:        Verdict_VERDICT_TAKEN,
	handover.VerdictMissing:      Verdict_VERDICT_MISSING,
	handover.VerdictOtherAccount: Verdict_VERDICT_OTHER_ACCOUNT,
	handover.VerdictOtherBody:    Verdict_VERDICT_OTHER_BODY,
	handover.VerdictNoBoundary:   Verdict_VERDICT_NO_BOUNDARY,
}

var verdictFromProto = invert(verdictToProto)

// Hold sends a state to a peer, which stores it.
//
// The error wraps [pipehandover.ErrNotHeld] when the peer refused the state or did not
// receive the call; after any other error the peer may hold the state.
func (client *Client) Hold(ctx context.Context, peer membership.Member, state handover.State) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	response, err := client.service(peer.Address).Hold(ctx, connect.NewRequest(&HoldRequest{State: EncodeHandover(state)}))
	if err != nil {
		err = callError(err, StepHold, peer.Address)
		if errors.Is(err, ErrUnreachable) || connect.CodeOf(err) == connect.CodeUnimplemented {
			return fmt.Errorf("%w: %w", pipehandover.ErrNotHeld, err)
		}
		return err
	}
	if verdict := verdictFromProto[response.Msg.GetVerdict()]; verdict != handover.VerdictHeld {
		return fault.Wrap(fmt.Errorf("%w: %s", pipehandover.ErrNotHeld, verdict), StepHold, peer.Address)
	}
	return nil
}

// Take requests a state from a peer; the state is set only with VerdictTaken.
func (client *Client) Take(ctx context.Context, peer membership.Member, query handover.Query) (handover.State, handover.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	request := &TakeRequest{Id: query.ID, Account: query.Account, BodyHash: query.BodyHash, Received: int64(query.Received)}
	response, err := client.service(peer.Address).Take(ctx, connect.NewRequest(request))
	if err != nil {
		return handover.State{}, handover.VerdictMissing, callError(err, StepTake, peer.Address)
	}
	verdict, known := verdictFromProto[response.Msg.GetVerdict()]
	if !known || verdict != handover.VerdictTaken {
		return handover.State{}, verdict, nil
	}
	state, err := DecodeHandover(response.Msg.GetState())
	return state, verdict, fault.Wrap(err, StepTake, peer.Address)
}

// EncodeHandover converts a state to its message.
func EncodeHandover(state handover.State) *Handover {
	message := &Handover{Id: state.ID, Account: state.Account, BodyHash: state.BodyHash, Start: int64(state.Start())}
	for _, chunk := range state.Chunks() {
		message.Tokens = append(message.Tokens, uint32(chunk.Tokens))
		message.Lengths = append(message.Lengths, uint32(len(chunk.Text)))
		message.Text = append(message.Text, chunk.Text...)
	}
	return message
}

// DecodeHandover converts a message to a state; the error reports chunks that do not match the text.
func DecodeHandover(message *Handover) (handover.State, error) {
	state := handover.NewState(message.GetId(), message.GetAccount(), message.GetBodyHash(), int(message.GetStart()))
	if len(message.GetTokens()) != len(message.GetLengths()) {
		return state, errChunkMismatch
	}
	text := string(message.GetText())
	for i, length := range message.GetLengths() {
		if uint64(length) > uint64(len(text)) {
			return state, errChunkMismatch
		}
		state = state.WithChunk(call.Chunk{Offset: state.Tokens(), Tokens: int(message.GetTokens()[i]), Text: text[:length]})
		text = text[length:]
	}
	if text != "" {
		return state, errChunkMismatch
	}
	return state, nil
}

func (endpoint endpoint) Hold(_ context.Context, request *connect.Request[HoldRequest]) (*connect.Response[HoldResponse], error) {
	if endpoint.server.handoverStore == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, pipehandover.ErrNotHeld)
	}
	state, err := DecodeHandover(request.Msg.GetState())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&HoldResponse{Verdict: verdictToProto[endpoint.server.handoverStore.Hold(state)]}), nil
}

func (endpoint endpoint) Take(_ context.Context, request *connect.Request[TakeRequest]) (*connect.Response[TakeResponse], error) {
	if endpoint.server.handoverStore == nil {
		return connect.NewResponse(&TakeResponse{Verdict: Verdict_VERDICT_MISSING}), nil
	}
	message := request.Msg
	state, verdict := endpoint.server.handoverStore.Take(handover.Query{
		ID: message.GetId(), Account: message.GetAccount(), BodyHash: message.GetBodyHash(), Received: int(message.GetReceived()),
	})
	response := &TakeResponse{Verdict: verdictToProto[verdict]}
	if verdict == handover.VerdictTaken {
		response.State = EncodeHandover(state)
	}
	return connect.NewResponse(response), nil
}

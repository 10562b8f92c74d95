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

// The steps of the handover that a client's faults name.
const (
	StepHold = "peer hold"
	StepTake = "peer take"
)

var errChunks = errors.New("handover whose chunks do not fit its text")

// HandoverStore holds completions for entries that leave.
type HandoverStore interface {
	// Hold keeps a state or says why not.
	Hold(state handover.State) handover.Verdict
	// Take gives a state out once.
	Take(query handover.Query) (handover.State, handover.Verdict)
}

var verdicts = map[handover.Verdict]Verdict{
	handover.VerdictHeld:         Verdict_VERDICT_HELD,
	handover.VerdictFull:         Verdict_VERDICT_FULL,
	handover.VerdictLeaving:      Verdict_VERDICT_LEAVING,
	handover.VerdictTaken:        Verdict_VERDICT_TAKEN,
	handover.VerdictMissing:      Verdict_VERDICT_MISSING,
	handover.VerdictOtherAccount: Verdict_VERDICT_OTHER_ACCOUNT,
	handover.VerdictOtherBody:    Verdict_VERDICT_OTHER_BODY,
	handover.VerdictNoBoundary:   Verdict_VERDICT_NO_BOUNDARY,
}

var verdictNames = inverted(verdicts)

// Hold gives a state to a peer.
//
// The error is [pipehandover.ErrNotHeld] when the peer refused or did not get the
// call; after any other error it may hold the state.
func (client *Client) Hold(ctx context.Context, peer membership.Member, state handover.State) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	response, err := client.service(peer.Address).Hold(ctx, connect.NewRequest(&HoldRequest{State: EncodeHandover(state)}))
	if err != nil {
		err = failure(err, StepHold, peer.Address)
		if errors.Is(err, ErrUnreachable) || connect.CodeOf(err) == connect.CodeUnimplemented {
			return fmt.Errorf("%w: %w", pipehandover.ErrNotHeld, err)
		}
		return err
	}
	if verdict := verdictNames[response.Msg.GetVerdict()]; verdict != handover.VerdictHeld {
		return fault.Wrap(fmt.Errorf("%w: %s", pipehandover.ErrNotHeld, verdict), StepHold, peer.Address)
	}
	return nil
}

// Take asks a peer for a state.
func (client *Client) Take(ctx context.Context, peer membership.Member, query handover.Query) (handover.State, handover.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	request := &TakeRequest{Id: query.ID, Account: query.Account, BodyHash: query.BodyHash, Received: int64(query.Received)}
	response, err := client.service(peer.Address).Take(ctx, connect.NewRequest(request))
	if err != nil {
		return handover.State{}, handover.VerdictMissing, failure(err, StepTake, peer.Address)
	}
	verdict, known := verdictNames[response.Msg.GetVerdict()]
	if !known || verdict != handover.VerdictTaken {
		return handover.State{}, verdict, nil
	}
	state, err := DecodeHandover(response.Msg.GetState())
	return state, verdict, fault.Wrap(err, StepTake, peer.Address)
}

// EncodeHandover returns the message for a state.
func EncodeHandover(state handover.State) *Handover {
	message := &Handover{Id: state.ID, Account: state.Account, BodyHash: state.BodyHash, Start: int64(state.Start())}
	for _, chunk := range state.Chunks() {
		message.Tokens = append(message.Tokens, uint32(chunk.Tokens))
		message.Lengths = append(message.Lengths, uint32(len(chunk.Text)))
		message.Text = append(message.Text, chunk.Text...)
	}
	return message
}

// DecodeHandover returns the state in a message.
func DecodeHandover(message *Handover) (handover.State, error) {
	state := handover.NewState(message.GetId(), message.GetAccount(), message.GetBodyHash(), int(message.GetStart()))
	if len(message.GetTokens()) != len(message.GetLengths()) {
		return state, errChunks
	}
	text := string(message.GetText())
	for i, length := range message.GetLengths() {
		if uint64(length) > uint64(len(text)) {
			return state, errChunks
		}
		state = state.WithChunk(call.Chunk{Offset: state.Tokens(), Tokens: int(message.GetTokens()[i]), Text: text[:length]})
		text = text[length:]
	}
	if text != "" {
		return state, errChunks
	}
	return state, nil
}

func (endpoint endpoint) Hold(_ context.Context, request *connect.Request[HoldRequest]) (*connect.Response[HoldResponse], error) {
	if endpoint.server.holder == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, pipehandover.ErrNotHeld)
	}
	state, err := DecodeHandover(request.Msg.GetState())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&HoldResponse{Verdict: verdicts[endpoint.server.holder.Hold(state)]}), nil
}

func (endpoint endpoint) Take(_ context.Context, request *connect.Request[TakeRequest]) (*connect.Response[TakeResponse], error) {
	if endpoint.server.holder == nil {
		return connect.NewResponse(&TakeResponse{Verdict: Verdict_VERDICT_MISSING}), nil
	}
	message := request.Msg
	state, verdict := endpoint.server.holder.Take(handover.Query{
		ID: message.GetId(), Account: message.GetAccount(), BodyHash: message.GetBodyHash(), Received: int(message.GetReceived()),
	})
	response := &TakeResponse{Verdict: verdicts[verdict]}
	if verdict == handover.VerdictTaken {
		response.State = EncodeHandover(state)
	}
	return connect.NewResponse(response), nil
}

package peer

import (
	"context"
	"errors"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
)

// StepServe names the peer port in errors.
const StepServe = "peer serve"

// Exchanger takes part in the exchange of state.
type Exchanger interface {
	// Answer joins a peer's offer and returns what the peer lacks.
	Answer(offer membership.Offer) membership.Reply
}

// History holds the configuration log, as far as this entry has it.
type History interface {
	// Since returns the log entries after a revision without a gap, oldest
	// first; the first is a checkpoint when earlier ones are no longer held.
	Since(revision int64) []control.LogEntry
}

// Leader acts on orders for the shards that this entry leads.
type Leader interface {
	// Act returns [ErrNotLeader] when this entry does not lead the shard and did nothing.
	Act(ctx context.Context, shard int, order []byte) ([]byte, error)
}

// Server answers other entries.
type Server struct {
	exchanger Exchanger
	history   History
	leader    Leader
	holder    HandoverStore
}

// NewServer returns a server in front of the given parts.
func NewServer(exchanger Exchanger, history History, leader Leader) *Server {
	return &Server{exchanger: exchanger, history: history, leader: leader}
}

// WithHandoverStore returns the server with the part that holds completions for entries that leave.
func (server Server) WithHandoverStore(holder HandoverStore) *Server {
	server.holder = holder
	return &server
}

// Run serves a listener until ctx ends and then waits for the calls in progress, at most 5 s.
func (server *Server) Run(ctx context.Context, listener net.Listener) error {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	port := &http.Server{
		Handler:           server.Handler(),
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout, // the client closes first, so that it never sends into a closing connection
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- port.Shutdown(bounded)
	})
	err := port.Serve(listener)
	if stop() || !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap(err, StepServe, listener.Addr().String())
	}
	return fault.Wrap(<-stopped, StepServe, listener.Addr().String())
}

// Handler returns the HTTP handler of the service.
func (server *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(NewPeerServiceHandler(endpoint{server},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes)))
	return mux
}

// endpoint implements the generated interface, whose methods take messages.
type endpoint struct{ server *Server }

func (endpoint endpoint) Exchange(_ context.Context, request *connect.Request[ExchangeRequest]) (*connect.Response[ExchangeResponse], error) {
	offer, err := DecodeOffer(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(EncodeReply(endpoint.server.exchanger.Answer(offer))), nil
}

func (endpoint endpoint) ConfigSince(_ context.Context, request *connect.Request[ConfigSinceRequest]) (*connect.Response[ConfigSinceResponse], error) {
	entries := endpoint.server.history.Since(request.Msg.GetRevision())
	response := &ConfigSinceResponse{}
	size := 0
	for _, entry := range entries {
		size += len(entry.Data)
		if size > maxConfigBytes && len(response.Entries) > 0 {
			break
		}
		response.Entries = append(response.Entries, &LogEntry{Number: entry.Number, Checkpoint: entry.Checkpoint, Data: entry.Data})
	}
	return connect.NewResponse(response), nil
}

func (endpoint endpoint) Forward(ctx context.Context, request *connect.Request[ForwardRequest]) (*connect.Response[ForwardResponse], error) {
	answer, err := endpoint.server.leader.Act(ctx, int(request.Msg.GetShard()), request.Msg.GetOrder())
	if errors.Is(err, ErrNotLeader) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&ForwardResponse{Answer: answer}), nil
}

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
	"github.com/rosemaryspar/rosemaryspar/internal/wire/http2server"
)

// StepServe is the step in the errors of the peer port.
const StepServe = "peer serve"

// Exchanger answers the offers of peers.
type Exchanger interface {
	// Answer merges a peer's offer into the state of this entry and returns the items that the peer lacks.
	Answer(offer membership.Offer) membership.Reply
}

// History holds the part of the configuration log that this entry has.
type History interface {
	// Since returns the log entries after a revision without a gap, oldest
	// first; the first is a checkpoint when earlier entries were truncated.
	Since(revision int64) []control.LogEntry
}

// Leader executes orders for the shards that this entry leads.
type Leader interface {
	// Execute executes an order and returns its answer, or [ErrNotLeader] without any effect
	// when this entry does not lead the shard.
	Execute(ctx context.Context, shard int, order []byte) ([]byte, error)
}

// Server answers the calls of other entries.
type Server struct {
	exchanger     Exchanger
	history       History
	leader        Leader
	handoverStore HandoverStore
}

// NewServer returns a server that passes calls to the given implementations and stores no handover states.
func NewServer(exchanger Exchanger, history History, leader Leader) *Server {
	return &Server{exchanger: exchanger, history: history, leader: leader}
}

// WithHandoverStore returns the server with the store for completions of leaving entries.
func (server Server) WithHandoverStore(store HandoverStore) *Server {
	server.handoverStore = store
	return &server
}

// Run serves a listener until ctx ends, and then waits at most 5 s for the calls in progress.
func (server *Server) Run(ctx context.Context, listener net.Listener) error {
	httpServer := http2server.New(server.Handler(), maxMessageBytes)
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- httpServer.Shutdown(shutdownCtx)
	})
	err := httpServer.Serve(listener)
	if stop() || !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap(err, StepServe, listener.Addr().String())
	}
	return fault.Wrap(<-stopped, StepServe, listener.Addr().String())
}

// Handler returns the HTTP handler of PeerService.
func (server *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(NewPeerServiceHandler(endpoint{server},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes)))
	return mux
}

// endpoint implements the generated PeerServiceHandler.
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
	answer, err := endpoint.server.leader.Execute(ctx, int(request.Msg.GetShard()), request.Msg.GetOrder())
	if errors.Is(err, ErrNotLeader) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&ForwardResponse{Answer: answer}), nil
}

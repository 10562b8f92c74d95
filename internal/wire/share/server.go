package share

import (
	"context"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/http2server"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// Answerer answers the state messages of peers.
type Answerer interface {
	Answer(message share.StateMessage) share.Reply
}

// Server answers the calls of other entries.
type Server struct {
	answerer Answerer
	guard    *tcp.Guard
	listener net.Listener
}

// Listen listens on an address ("IP:port") for peers, whose messages answerer answers.
func Listen(address string, answerer Answerer) (*Server, error) {
	guard := tcp.NewStreamGuard()
	listener, err := tcp.ListenGuarded(address, guard)
	if err != nil {
		return nil, fault.Wrap(err, StepShare, address)
	}
	return &Server{answerer: answerer, guard: guard, listener: listener}, nil
}

// Guard returns the guard of the connections.
func (server *Server) Guard() *tcp.Guard { return server.guard }

// Serve answers calls until the context ends, and then closes all connections and returns nil.
func (server *Server) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(NewShareServiceHandler(endpoint{server.answerer},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes)))
	err := tcp.Serve(ctx, http2server.New(mux, maxMessageBytes), server.listener)
	return fault.Wrap(err, StepShare, server.listener.Addr().String())
}

// endpoint implements the generated ShareServiceHandler.
type endpoint struct{ answerer Answerer }

// Share implements ShareServiceHandler.
func (endpoint endpoint) Share(_ context.Context, request *connect.Request[ShareRequest]) (*connect.Response[ShareResponse], error) {
	if err := checkRequest(request.Msg); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(encodeReply(endpoint.answerer.Answer(decodeStateMessage(request.Msg)))), nil
}

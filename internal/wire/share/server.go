package share

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
)

// readHeaderTimeout ends connections that send no request.
const readHeaderTimeout = 5 * time.Second

// Answerer answers the statements of peers.
type Answerer interface {
	Answer(statement share.StateMessage) share.Reply
}

// Server answers other entries.
type Server struct {
	answerer Answerer
	listener net.Listener
}

// Listen opens an address ("IP:port") for peers.
func Listen(address string, answerer Answerer) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, StepShare, address)
	}
	return &Server{answerer: answerer, listener: listener}, nil
}

// Serve answers until the context ends.
func (server *Server) Serve(ctx context.Context) error {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(NewShareServiceHandler(endpoint{server.answerer},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes)))
	port := &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = port.Close() })
	defer stop()
	err := port.Serve(server.listener)
	if ctx.Err() != nil && errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap(err, StepShare, server.listener.Addr().String())
}

// endpoint implements the generated interface, whose methods take messages.
type endpoint struct{ answerer Answerer }

func (endpoint endpoint) Share(_ context.Context, request *connect.Request[ShareRequest]) (*connect.Response[ShareResponse], error) {
	return connect.NewResponse(encodeReply(endpoint.answerer.Answer(decodeStatement(request.Msg)))), nil
}

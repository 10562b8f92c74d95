package httpserver

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const (
	// readTimeout bounds the time that a slow client may take to send a request.
	readTimeout = 30 * time.Second
	// idleTimeout is longer than clients keep idle connections, so that they close first.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
)

// Server is a hertz server on a listener of its own.
type Server struct {
	*server.Hertz
	listener net.Listener
}

// Listen opens address ("IP:port", port 0 for any free one) for requests of at most maxBody bytes.
func Listen(address string, maxBody int) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	hertz := server.New(
		server.WithTransport(standard.NewTransporter),
		server.WithListener(listener),
		server.WithHostPorts(listener.Addr().String()),
		server.WithMaxRequestBodySize(maxBody),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
	)
	return &Server{Hertz: hertz, listener: listener}, nil
}

// Address returns the address that the server listens on.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// Serve answers requests until the context ends, then closes the server.
func (server *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Run() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = server.Shutdown(stopping) //nolint:errcheck // a server that was not running yet has nothing to close
	_ = server.listener.Close()
	return nil
}

package httpserver

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

const (
	// readTimeout bounds the time that a client may take to send a request.
	readTimeout = 30 * time.Second
	// idleTimeout is longer than clients keep idle connections, so that the client closes first.
	// Otherwise a client could send a request on a connection that the server is closing.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the header of a request, in bytes.
	maxHeaderBytes = 16 << 10
	// readBufferBytes is the size of the first buffer of a connection, in bytes. A head that does not fit into it is copied with each piece
	// of it that arrives, and all copies are kept until the request ends.
	readBufferBytes = maxHeaderBytes + 4<<10
	// maxDrainTime bounds the time for which a stopping server accepts connections.
	maxDrainTime = time.Second
)

// Server is a hertz server with its own listener.
type Server struct {
	*server.Hertz
	guard    *tcp.Guard
	listener *tcp.Listener
}

// Listen opens address ("IP:port", port 0 for any free port) for requests with at most maxBody bytes in the body.
//
// The server answers requests only while [Server.Serve] runs.
func Listen(address string, maxBody int) (*Server, error) {
	guard := tcp.NewRequestGuard(intake.RequestLimits{Head: maxHeaderBytes, Body: int64(maxBody)}, readBufferBytes)
	listener, err := tcp.ListenGuarded(address, guard)
	if err != nil {
		return nil, err
	}
	hertz := server.New(
		server.WithTransport(standard.NewTransporter),
		server.WithListener(listener),
		server.WithHostPorts(listener.Addr().String()),
		server.WithMaxRequestBodySize(maxBody),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadBufferSize(readBufferBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
	)
	return &Server{Hertz: hertz, guard: guard, listener: listener}, nil
}

// Guard returns the guard of the connections.
func (server *Server) Guard() *tcp.Guard { return server.guard }

// Address returns the "IP:port" on which the server listens.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// CloseListener closes the address of a server that does not serve.
func (server *Server) CloseListener() error { return server.listener.Close() }

// Serve answers requests until ctx ends and no connection has arrived for 200 ms, for at most 1 s, and then shuts the
// server down within 1 s.
//
// It returns an error only if the server fails before ctx ends.
func (server *Server) Serve(ctx context.Context) error {
	runErr := make(chan error, 1)
	go func() { runErr <- server.Run() }()
	select {
	case err := <-runErr:
		return err
	case <-ctx.Done():
	}
	drainContext, stopDraining := context.WithTimeout(context.WithoutCancel(ctx), maxDrainTime)
	defer stopDraining()
	server.listener.Drain(drainContext)
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = server.Shutdown(shutdownContext) //nolint:errcheck // fails if the server was not running yet, and then there is nothing to close
	_ = server.listener.Close()
	return nil
}

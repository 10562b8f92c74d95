package ingress

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// StepServe is the step in the errors of the front end.
const StepServe = "ingress"

const (
	// headerTimeout and idleTimeout are longer than any timeouts that a configuration
	// sets for callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// writeTimeout bounds the time for which a caller may leave a piece of its answer unread. It is longer than the seconds
	// for which links fail.
	writeTimeout = 10 * time.Second
	// shutdownTimeout bounds the wait for answers in progress when the server stops.
	shutdownTimeout = 500 * time.Millisecond
	// quietTime is the time without a call after which no more are expected from callers that the balancer sent here
	// before it noticed that the entry stops.
	quietTime = 300 * time.Millisecond
	// maxHeaderBytes is larger than any limit of a configuration, in bytes; the guard of the connections knows that limit.
	maxHeaderBytes = 16 << 20
)

// Codec converts header fields between a caller and an entry.
type Codec interface {
	// Call returns the call that a request describes, without its body, or a refusal.
	Call(request *http.Request) (call.Request, *call.Refusal)
}

// Limits provides the limits on the size and duration of calls.
type Limits interface {
	// Limits returns the limits of the current configuration, zero before there is one.
	Limits() route.Limits
}

// Recorder receives the results of calls that do not reach the handler.
type Recorder interface {
	// Record processes a result without blocking.
	Record(result request.Result)
}

// Server is the front end for opaque calls.
type Server struct {
	http     *http.Server
	guard    *tcp.Guard
	listener *tcp.Listener
	codec    Codec
	limits   Limits
	handler  request.Handler
	recorder Recorder
	// closeAfterAnswer ends each connection with its next answer.
	closeAfterAnswer atomic.Bool
	// lastCallAt is when the latest call arrived, in nanoseconds since startedAt.
	lastCallAt atomic.Int64
	startedAt  time.Time
}

// Listen listens on an address ("IP:port") for calls, which handler answers. The recorder receives the results of those that
// are refused before.
func Listen(address string, codec Codec, limits Limits, handler request.Handler, recorder Recorder) (*Server, error) {
	guard := tcp.NewGuard(func() int { return limits.Limits().HeaderBytes })
	listener, err := tcp.ListenGuarded(address, guard)
	if err != nil {
		return nil, fault.Wrap(err, StepServe, address)
	}
	server := &Server{guard: guard, listener: listener, codec: codec, limits: limits, handler: handler, recorder: recorder, startedAt: time.Now()}
	server.http = &http.Server{
		Handler:           server,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout, // of the answers that net/http gives itself
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       tcp.ConnContext,
		ConnState:         tcp.ConnState,
	}
	return server, nil
}

// Address returns the "IP:port" that the front end listens on.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Guard returns the guard of the connections.
func (server *Server) Guard() *tcp.Guard { return server.guard }

// Serve answers calls until the context ends, and then waits at most 500 ms for answers in progress.
func (server *Server) Serve(ctx context.Context) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if server.http.Shutdown(shutdownCtx) != nil {
			_ = server.http.Close()
		}
	})
	err := server.http.Serve(server.listener)
	if !stop() && errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return fault.Wrap(err, StepServe, server.Address())
}

// DisableKeepAlives closes each connection after its next answer.
//
// Idle connections stay open until then: a call may be in transit on any of them, and
// would be lost if the server closed the connection.
func (server *Server) DisableKeepAlives() { server.closeAfterAnswer.Store(true) }

// AwaitQuiet waits until no call has arrived for quietTime and the listener has no more connections, or until ctx ends.
//
// Callers that still come are answered, with a refusal, until there are no more. The time since the last call alone does
// not show that, since a process that is not scheduled reads no calls.
func (server *Server) AwaitQuiet(ctx context.Context) {
	for {
		remaining := quietTime - (time.Since(server.startedAt) - time.Duration(server.lastCallAt.Load()))
		if remaining <= 0 || pause.For(ctx, remaining) != nil {
			break
		}
	}
	server.listener.Drain(ctx)
}

// ServeHTTP answers one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	server.lastCallAt.Store(int64(time.Since(server.startedAt)))
	if server.closeAfterAnswer.Load() {
		writer.Header().Set("Connection", "close")
	}
	conn := tcp.ConnOf(incoming.Context())
	conn.BeginBody()
	callRequest, refusal := server.codec.Call(incoming)
	callRequest.Arrived = time.Now()
	if refusal != nil {
		server.refuse(writer, incoming, callRequest, refusal)
		return
	}
	memory := conn.NewBody(1)
	defer memory.Release()
	body, err := readBody(writer, incoming, server.bodyLimit(), callRequest, memory)
	if err != nil {
		server.refuse(writer, incoming, callRequest, bodyRefusal(callRequest, err))
		return
	}
	callRequest.Opaque.Body = body
	if !conn.BeginCall() {
		server.refuse(writer, incoming, callRequest, bodyRefusal(callRequest, tcp.ErrNoRoom))
		return
	}
	reply := newReply(writer)
	_, err = server.handler.Handle(incoming.Context(), request.Exchange{Request: callRequest, Reply: reply})
	switch {
	case err == nil:
	case reply.begun, incoming.Context().Err() != nil:
		abort(incoming)
	default:
		writeError(writer, callRequest, err)
	}
}

// abort closes the connection of a call whose answer has begun, so that the answer does not look complete. To a caller with
// HTTP/1.0, which knows no chunks, an orderly end of the connection would be the end of the answer, so it gets a reset.
func abort(incoming *http.Request) {
	if conn := tcp.ConnOf(incoming.Context()); conn != nil && !incoming.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// refuse refuses a call whose body was not read to its end, and closes the connection after the answer. On a closed connection it gives no
// answer, since net/http would hold the connection for half a second until its client has read it.
func (server *Server) refuse(writer http.ResponseWriter, incoming *http.Request, callRequest call.Request, refusal *call.Refusal) {
	server.recorder.Record(request.Result{
		Exchange: request.Exchange{Request: callRequest}, Err: refusal, Duration: time.Since(callRequest.Arrived),
	})
	if tcp.ConnOf(incoming.Context()).IsClosed() {
		abort(incoming)
	}
	writer.Header().Set("Connection", "close")
	writeError(writer, callRequest, refusal)
}

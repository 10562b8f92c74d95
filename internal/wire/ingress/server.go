package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
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
	// bodyTimeout bounds the time in which a body arrives, for callers without a time limit.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the time for which a caller may leave a piece of its answer unread. It is longer than the seconds
	// for which links fail.
	writeTimeout = 10 * time.Second
	// shutdownTimeout bounds the wait for answers in progress when the server stops.
	shutdownTimeout = 500 * time.Millisecond
	// quietTime is the time without a call after which no more are expected from callers that the balancer sent here
	// before it noticed that the entry stops.
	quietTime = 300 * time.Millisecond
	// maxHeaderBytes bounds the header of a call until a configuration has been received.
	maxHeaderBytes = 64 << 10
	// defaultBodyBytes bounds a body until a configuration has been received.
	defaultBodyBytes = 4 << 20
	// maxBufferedBytes bounds the bodies of all calls in progress together.
	maxBufferedBytes = 64 << 20
	// overloadRetryAfter is the Retry-After of a call refused because of maxBufferedBytes.
	overloadRetryAfter = 500 * time.Millisecond
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
	listener *tcp.Listener
	codec    Codec
	limits   Limits
	handler  request.Handler
	recorder Recorder
	// bufferedBytes is the size reserved for the bodies of all calls in progress.
	bufferedBytes atomic.Int64
	// closeAfterAnswer ends each connection with its next answer.
	closeAfterAnswer atomic.Bool
	// lastCallAt is when the latest call arrived, in nanoseconds since startedAt.
	lastCallAt atomic.Int64
	startedAt  time.Time
}

// Listen listens on an address ("IP:port") for calls, which handler answers. The recorder receives the results of those that
// are refused before.
func Listen(address string, codec Codec, limits Limits, handler request.Handler, recorder Recorder) (*Server, error) {
	listener, err := tcp.Listen(address)
	if err != nil {
		return nil, fault.Wrap(err, StepServe, address)
	}
	server := &Server{listener: listener, codec: codec, limits: limits, handler: handler, recorder: recorder, startedAt: time.Now()}
	server.http = &http.Server{
		Handler:           server,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout, // of the answers that net/http gives itself
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return server, nil
}

// Address returns the "IP:port" that the front end listens on.
func (server *Server) Address() string { return server.listener.Addr().String() }

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
	callRequest, refusal := server.codec.Call(incoming)
	callRequest.Arrived = time.Now()
	if refusal != nil {
		server.refuse(writer, callRequest, refusal)
		return
	}
	reserved, refusal := server.reserveBody(incoming)
	if refusal != nil {
		server.refuse(writer, callRequest, refusal)
		return
	}
	defer server.bufferedBytes.Add(-reserved)
	body, err := readBody(writer, incoming, server.bodyLimit(), callRequest)
	if err != nil {
		server.refuse(writer, callRequest, bodyRefusal(callRequest, err))
		return
	}
	callRequest.Opaque.Body = body
	reply := newReply(writer)
	_, err = server.handler.Handle(incoming.Context(), request.Exchange{Request: callRequest, Reply: reply})
	switch {
	case err == nil:
	case reply.begun, incoming.Context().Err() != nil:
		panic(http.ErrAbortHandler) // Closes the connection, so that the answer does not look complete.
	default:
		writeError(writer, callRequest, err)
	}
}

// refuse refuses a call whose body was not read to its end, and closes the connection after the answer.
func (server *Server) refuse(writer http.ResponseWriter, callRequest call.Request, refusal *call.Refusal) {
	writer.Header().Set("Connection", "close")
	writeError(writer, callRequest, refusal)
	server.recorder.Record(request.Result{
		Exchange: request.Exchange{Request: callRequest}, Err: refusal, Duration: time.Since(callRequest.Arrived),
	})
}

// reserveBody reserves space for the body of a call and returns its size in bytes, or a refusal.
//
// For a body of unknown length it reserves a quarter of the limit.
func (server *Server) reserveBody(incoming *http.Request) (int64, *call.Refusal) {
	size := incoming.ContentLength
	if size < 0 {
		size = int64(server.bodyLimit()) / 4
	}
	if size > int64(server.bodyLimit()) {
		return 0, call.Refuse(call.ReasonTooLarge, "the body is larger than %d bytes", server.bodyLimit())
	}
	if server.bufferedBytes.Add(size) > maxBufferedBytes {
		server.bufferedBytes.Add(-size)
		return 0, call.Refuse(call.ReasonQueueFull, "the bodies of the calls in progress use up the memory of the entry").WithRetryAfter(overloadRetryAfter)
	}
	return size, nil
}

// bodyLimit returns the limit of the size of a body in bytes.
func (server *Server) bodyLimit() int {
	if limit := server.limits.Limits().BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyBytes
}

// bodyRefusal returns the refusal of a call whose body could not be read.
func bodyRefusal(callRequest call.Request, err error) *call.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return call.Refuse(call.ReasonTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return call.Refuse(call.ReasonDeadline, "the body did not arrive within %v", bodyTime(callRequest))
	}
	return call.Refuse(call.ReasonMalformed, "the body could not be read: %v", err)
}

// bodyTime returns the time in which the body of a call must arrive: the time limit of its caller, if it gave one.
func bodyTime(callRequest call.Request) time.Duration {
	if callRequest.Opaque.TimeLimit > 0 {
		return callRequest.Opaque.TimeLimit
	}
	return bodyTimeout
}

// readBody returns the body of a call, of at most limit bytes, if it arrives in time.
func readBody(writer http.ResponseWriter, incoming *http.Request, limit int, callRequest call.Request) ([]byte, error) {
	if incoming.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(writer)
	if err := controller.SetReadDeadline(callRequest.Arrived.Add(bodyTime(callRequest))); err != nil {
		return nil, err
	}
	body, err := readWhole(http.MaxBytesReader(writer, incoming.Body, int64(limit)), incoming.ContentLength)
	if err != nil {
		return body, err
	}
	// After the deadline, net/http would take the caller for disconnected.
	return body, controller.SetReadDeadline(time.Time{})
}

// readWhole reads a body up to its end; length is negative if it is not known.
func readWhole(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(reader)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return body, err
	}
	// net/http watches the connection for a disconnect only after the end of the body was read.
	_, err := reader.Read(make([]byte, 1))
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body, err
}

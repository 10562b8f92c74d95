package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StepServe names the front end in errors.
const StepServe = "ingress"

const (
	// headerTimeout and idleTimeout are longer than any that a configuration allows
	// callers to use up.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// shutdownTime bounds the wait for answers in progress at the end.
	shutdownTime = 500 * time.Millisecond
	// maxHeaderBytes bounds the header of a call before a configuration is known.
	maxHeaderBytes = 64 << 10
	// defaultBodyBytes bounds a body before a configuration is known.
	defaultBodyBytes = 4 << 20
	// maxHeldBytes bounds the bodies that are held at once.
	maxHeldBytes = 64 << 20
	// overloadWait is when a call that found no room for its body may come again.
	overloadWait = 500 * time.Millisecond
)

// Codec names the header fields between a caller and an entry.
type Codec interface {
	// Call returns the call of a request without its body, or a refusal.
	Call(request *http.Request) (call.Request, *call.Refusal)
}

// Limits gives what callers may send at the moment.
type Limits interface {
	Limits() route.Limits
}

// Server is the front end for opaque calls.
type Server struct {
	http     *http.Server
	listener net.Listener
	codec    Codec
	limits   Limits
	handler  request.Handler
	held     atomic.Int64
	closing  atomic.Bool
}

// Listen opens an address ("IP:port") for calls that handler answers.
func Listen(address string, codec Codec, limits Limits, handler request.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, StepServe, address)
	}
	server := &Server{listener: listener, codec: codec, limits: limits, handler: handler}
	server.http = &http.Server{
		Handler:           server,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return server, nil
}

// Address returns the address that the front end listens on.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Serve answers calls until the context ends, and then waits a moment for answers in progress.
func (server *Server) Serve(ctx context.Context) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
		defer cancel()
		if server.http.Shutdown(bounded) != nil {
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

// DisableKeepAlives ends each connection with its next answer.
//
// Idle connections stay open. A call may be on its way on any of them, and would
// be lost if it was read while its connection is closed.
func (server *Server) DisableKeepAlives() { server.closing.Store(true) }

// ServeHTTP answers one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	if server.closing.Load() {
		writer.Header().Set("Connection", "close")
	}
	next, refusal := server.codec.Call(incoming)
	next.Arrived = time.Now()
	if refusal != nil {
		refuseUnread(writer, next, refusal)
		return
	}
	room, refusal := server.hold(incoming)
	if refusal != nil {
		refuseUnread(writer, next, refusal)
		return
	}
	defer server.held.Add(-room)
	body, err := readBody(writer, incoming, server.bodyLimit())
	if err != nil {
		server.bodyFailed(writer, next, err)
		return
	}
	next.Opaque.Body = body
	reply := &reply{writer: writer, flusher: http.NewResponseController(writer)}
	_, err = server.handler.Handle(incoming.Context(), request.Exchange{Request: next, Reply: reply})
	switch {
	case err == nil:
	case reply.begun, incoming.Context().Err() != nil:
		panic(http.ErrAbortHandler) // The answer must not look complete.
	default:
		writeError(writer, next, err)
	}
}

// refuseUnread answers a call whose body was not read, at once and not after the body.
func refuseUnread(writer http.ResponseWriter, next call.Request, refusal *call.Refusal) {
	writer.Header().Set("Connection", "close")
	writeError(writer, next, refusal)
}

// hold takes room for the body of a call.
func (server *Server) hold(incoming *http.Request) (int64, *call.Refusal) {
	room := incoming.ContentLength
	if room < 0 {
		room = int64(server.bodyLimit()) / 4
	}
	if room > int64(server.bodyLimit()) {
		return 0, call.Refuse(call.ReasonTooLarge, "the body is larger than %d bytes", server.bodyLimit())
	}
	if server.held.Add(room) > maxHeldBytes {
		server.held.Add(-room)
		return 0, call.Refuse(call.ReasonQueueFull, "the entry holds too many bodies").WithRetryAfter(overloadWait)
	}
	return room, nil
}

func (server *Server) bodyLimit() int {
	if limit := server.limits.Limits().BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyBytes
}

func (server *Server) bodyFailed(writer http.ResponseWriter, next call.Request, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(writer, next, call.Refuse(call.ReasonTooLarge, "the body is larger than %d bytes", tooLarge.Limit))
		return
	}
	writer.Header().Set("Connection", "close")
	writeError(writer, next, call.Refuse(call.ReasonMalformed, "the body could not be read: %v", err))
}

func readBody(writer http.ResponseWriter, incoming *http.Request, limit int) ([]byte, error) {
	if incoming.ContentLength == 0 {
		return nil, nil
	}
	reader := http.MaxBytesReader(writer, incoming.Body, int64(limit))
	if incoming.ContentLength > 0 {
		body := make([]byte, incoming.ContentLength)
		_, err := io.ReadFull(reader, body)
		if err == nil {
			// The end of the body must be read for the server to watch the connection.
			_, err = reader.Read(make([]byte, 1))
			if errors.Is(err, io.EOF) {
				err = nil
			}
		}
		return body, err
	}
	return io.ReadAll(reader)
}

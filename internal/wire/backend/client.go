package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

// StepSend is the step of sending a call in failures.
const StepSend = "send"

const (
	// dialTimeout bounds connecting; the round trip to a server takes a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT).
	unackedTimeout = 3 * time.Second
)

// Codec converts header fields between an entry and a backend server.
type Codec interface {
	// Fields returns the header fields of a call; remaining is the time until its deadline.
	Fields(server directory.Server, request call.Request, remaining time.Duration) []call.HeaderField
	// Head returns the head of an answer with the given status and header.
	Head(status int, header http.Header) call.AnswerHead
}

// Client sends opaque calls and pools the connections to each server; several threads may use it.
type Client struct {
	codec  Codec
	dialer net.Dialer
	pools  *rcu.Cell[map[string]*pool]
}

// New returns a client that has no connections yet.
func New(codec Codec) *Client {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}}
	return &Client{codec: codec, dialer: dialer, pools: rcu.New(map[string]*pool{})}
}

// Open sends a call and returns its answer once the head has been read.
//
// The end of ctx closes the connection, which cancels the work at the server. The
// caller must close the answer.
//
// The function repeat is nil for a call that may run only once. Any other call may be sent on a connection that has been idle
// for so long that the server may be closing it; if it is, the call is sent again if repeat returns true.
func (client *Client) Open(ctx context.Context, server directory.Server, request call.Request, repeat func() bool) (*Answer, *call.Failure) {
	pool := client.pool(server)
	var firstErr error
	if connection := pool.take(repeat != nil, request.ID); connection != nil {
		answer, err := client.send(ctx, pool, connection, server, request)
		if err == nil {
			return answer, nil
		}
		firstErr = err
		// A server may close an idle connection while a call is on its way to it. Whether it has read the call is
		// unknown, so only a call that may run twice is sent again.
		if repeat == nil || !errors.Is(err, errNoAnswer) || ctx.Err() != nil || !repeat() {
			return nil, client.failureAfterSend(ctx, server, err)
		}
	}
	connection, err := client.dial(ctx, server)
	switch {
	case err != nil && firstErr != nil:
		return nil, client.failureAfterSend(ctx, server, firstErr) // The call may have run at the first attempt.
	case err != nil:
		return nil, client.failureBeforeSend(ctx, server, err)
	}
	answer, err := client.send(ctx, pool, connection, server, request)
	if err != nil {
		return nil, client.failureAfterSend(ctx, server, err)
	}
	return answer, nil
}

// send sends the call on a connection and reads the head of its answer. After an error, the connection is closed.
func (client *Client) send(ctx context.Context, pool *pool, connection *conn, server directory.Server, request call.Request) (*Answer, error) {
	answer := &Answer{pool: pool, conn: connection, server: server, codec: client.codec, request: request}
	answer.detach = context.AfterFunc(ctx, connection.close)
	answer.send(encodeHead(request, client.codec.Fields(server, request, time.Until(request.Deadline))), request.Opaque.Body)
	if err := answer.readHead(); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

// CloseIdleExcept closes the idle connections to all servers but those for whose [ConnectionKey] keep returns true.
func (client *Client) CloseIdleExcept(keep func(key string) bool) {
	keepAll := true
	for key := range client.pools.Load() {
		keepAll = keepAll && keep(key)
	}
	if keepAll {
		return
	}
	var dropped []*pool
	client.pools.Update(func(pools map[string]*pool) map[string]*pool {
		next := make(map[string]*pool, len(pools))
		dropped = dropped[:0]
		for key, pool := range pools {
			if keep(key) {
				next[key] = pool
			} else {
				dropped = append(dropped, pool)
			}
		}
		return next
	})
	for _, pool := range dropped {
		pool.close()
	}
}

// ConnectionKey returns "ID@ADDRESS", which identifies the incarnation of a server that connections lead to.
func ConnectionKey(server directory.Server) string { return server.ID + "@" + server.Address }

func (client *Client) dial(ctx context.Context, server directory.Server) (*conn, error) {
	dialled, err := client.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, err
	}
	return newConn(dialled), nil
}

// pool returns the pool of connections to a server, and creates one for a new server.
func (client *Client) pool(server directory.Server) *pool {
	key := ConnectionKey(server)
	if found, ok := client.pools.Load()[key]; ok {
		return found
	}
	created := newPool()
	return client.pools.Update(func(pools map[string]*pool) map[string]*pool {
		if _, ok := pools[key]; ok {
			return pools
		}
		next := make(map[string]*pool, len(pools)+1)
		for existing, pool := range pools {
			next[existing] = pool
		}
		next[key] = created
		return next
	})[key]
}

// failureBeforeSend returns the failure of a call of which no byte was written.
func (client *Client) failureBeforeSend(ctx context.Context, server directory.Server, err error) *call.Failure {
	cause := call.CauseConnect
	if ctx.Err() != nil {
		cause = contextCause(ctx)
	}
	return &call.Failure{Ran: call.RanNo, Cause: cause, Step: StepSend, Peer: server.ID, Detail: err.Error()}
}

// failureAfterSend returns the failure of a call that may have run.
func (client *Client) failureAfterSend(ctx context.Context, server directory.Server, err error) *call.Failure {
	cause := call.CauseReset
	switch {
	case ctx.Err() != nil:
		cause = contextCause(ctx)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		cause = call.CauseTimeout
	case errors.Is(err, call.ErrMalformed):
		cause = call.CauseMalformed
	}
	return &call.Failure{Ran: call.RanUnknown, Cause: cause, Step: StepSend, Peer: server.ID, Detail: err.Error()}
}

// contextCause returns the cause of a failure due to the end of ctx: its deadline or its cancellation.
func contextCause(ctx context.Context) call.Cause {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return call.CauseTimeout
	}
	return call.CauseCancelled
}

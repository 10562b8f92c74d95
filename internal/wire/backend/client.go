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

// StepSend names the sending of a call in failures.
const StepSend = "send"

const (
	// dialTimeout bounds connecting; servers are a few milliseconds away.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as lost.
	unackedTimeout = 3 * time.Second
)

// Codec names the header fields between an entry and a backend server.
type Codec interface {
	// Fields returns the header fields of a call; left is the time for its answer.
	Fields(server directory.Server, request call.Request, left time.Duration) []call.Field
	// Head returns what the header of an answer says.
	Head(status int, header http.Header) call.AnswerHead
}

// Client sends opaque calls; several threads may use it.
type Client struct {
	codec  Codec
	dialer net.Dialer
	pools  *rcu.Cell[map[string]*pool]
}

// New returns a client without connections.
func New(codec Codec) *Client {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, conn syscall.RawConn) error {
		var failed error
		err := conn.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
	return &Client{codec: codec, dialer: dialer, pools: rcu.New(map[string]*pool{})}
}

// Open sends a call and returns once the head of its answer is there.
//
// The end of ctx closes the connection, which cancels the work at the server. The
// caller closes the answer. Repeatable tells that the call may be sent on a connection
// that the server is perhaps about to close.
func (client *Client) Open(ctx context.Context, server directory.Server, request call.Request, repeatable bool) (*Answer, *call.Failure) {
	pool := client.pool(server)
	used := pool.take(repeatable)
	if used == nil {
		opened, err := client.dial(ctx, server)
		if err != nil {
			return nil, client.unsent(ctx, server, err)
		}
		used = opened
	}
	answer := &Answer{pool: pool, conn: used, server: server, codec: client.codec, request: request}
	answer.uncancel = context.AfterFunc(ctx, used.close)
	head := encode(request, client.codec.Fields(server, request, time.Until(request.Deadline)))
	answer.send(head, request.Opaque.Body)
	if err := answer.readHead(); err != nil {
		failure := client.lost(ctx, server, err)
		answer.Close()
		return nil, failure
	}
	return answer, nil
}

// CloseIdleExcept closes the idle connections to servers that are not kept.
func (client *Client) CloseIdleExcept(keep func(key string) bool) {
	kept := true
	for key := range client.pools.Load() {
		kept = kept && keep(key)
	}
	if kept {
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

// ConnectionKey identifies the incarnation of a server that connections lead to.
func ConnectionKey(server directory.Server) string { return server.ID + "@" + server.Address }

func (client *Client) dial(ctx context.Context, server directory.Server) (*conn, error) {
	opened, err := client.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, err
	}
	return newConn(opened), nil
}

func (client *Client) pool(server directory.Server) *pool {
	key := ConnectionKey(server)
	if found, ok := client.pools.Load()[key]; ok {
		return found
	}
	fresh := newPool()
	return client.pools.Update(func(pools map[string]*pool) map[string]*pool {
		if _, ok := pools[key]; ok {
			return pools
		}
		next := make(map[string]*pool, len(pools)+1)
		for known, pool := range pools {
			next[known] = pool
		}
		next[key] = fresh
		return next
	})[key]
}

func (client *Client) unsent(ctx context.Context, server directory.Server, err error) *call.Failure {
	cause := call.CauseConnect
	if ctx.Err() != nil {
		cause = ended(ctx)
	}
	return &call.Failure{Ran: call.RanNot, Cause: cause, Step: StepSend, Peer: server.ID, Detail: err.Error()}
}

func (client *Client) lost(ctx context.Context, server directory.Server, err error) *call.Failure {
	cause := call.CauseReset
	switch {
	case ctx.Err() != nil:
		cause = ended(ctx)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		cause = call.CauseTimeout
	case errors.Is(err, errMalformed):
		cause = call.CauseMalformed
	}
	return &call.Failure{Ran: call.RanUnknown, Cause: cause, Step: StepSend, Peer: server.ID, Detail: err.Error()}
}

func ended(ctx context.Context) call.Cause {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return call.CauseTimeout
	}
	return call.CauseCancelled
}

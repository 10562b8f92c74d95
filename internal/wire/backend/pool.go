package backend

import (
	"bufio"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

const (
	// maxIdle bounds the idle connections to one server.
	maxIdle = 16
	// idleLimit is how long an idle connection is used again where the server does not say.
	idleLimit = 3 * time.Second
	// idleMargin is left of the time that a server states.
	idleMargin = 400 * time.Millisecond
	// cautiousLimit is the idle time up to which a call that must not be repeated is
	// sent on a kept connection. A server that closes it at that moment leaves open
	// whether the call ran.
	cautiousLimit = time.Second
	// readBuffer holds the head of an answer and a few events, in bytes.
	readBuffer = 4 << 10
)

// conn is a connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the connection was put back.
	idleSince time.Time
	// limit is how long it may be idle.
	limit time.Duration
	once  sync.Once
}

func newConn(opened net.Conn) *conn {
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer), limit: idleLimit}
}

func (conn *conn) close() {
	conn.once.Do(func() { _ = conn.Conn.Close() })
}

// quiet reports that the server neither closed the connection nor sent anything on it.
func (conn *conn) quiet() bool {
	tcp, ok := conn.Conn.(*net.TCPConn)
	if !ok || conn.reader.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// pool holds the idle connections to one server, the latest used last.
type pool struct {
	idle *rcu.Cell[[]*conn]
}

func newPool() *pool { return &pool{idle: rcu.New[[]*conn](nil)} }

// take returns an idle connection that can be used, or nil.
func (pool *pool) take(repeatable bool) *conn {
	for {
		_, taken := rcu.Apply(pool.idle, func(idle []*conn) ([]*conn, *conn) {
			if len(idle) == 0 {
				return idle, nil
			}
			last := len(idle) - 1
			return idle[:last:last], idle[last]
		})
		if taken == nil {
			return nil
		}
		idle := time.Since(taken.idleSince)
		if idle < taken.limit && (repeatable || idle < cautiousLimit) && taken.quiet() {
			return taken
		}
		taken.close()
	}
}

// put keeps a connection for later calls, and closes those that are too old or too many.
func (pool *pool) put(used *conn) {
	used.idleSince = time.Now()
	var dropped []*conn
	pool.idle.Update(func(idle []*conn) []*conn {
		next := make([]*conn, 0, len(idle)+1)
		dropped = dropped[:0]
		for i, kept := range idle {
			if used.idleSince.Sub(kept.idleSince) > kept.limit || len(idle)-i >= maxIdle {
				dropped = append(dropped, kept)
			} else {
				next = append(next, kept)
			}
		}
		return append(next, used)
	})
	for _, old := range dropped {
		old.close()
	}
}

func (pool *pool) close() {
	var idle []*conn
	pool.idle.Update(func(current []*conn) []*conn {
		idle = current
		return nil
	})
	for _, kept := range idle {
		kept.close()
	}
}

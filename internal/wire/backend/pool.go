package backend

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

const (
	// maxIdleConns bounds the idle connections to one server.
	maxIdleConns = 16
	// defaultMaxIdleTime is how long a connection may be idle and still be reused, where
	// the server sends no shorter Keep-Alive timeout.
	defaultMaxIdleTime = 3 * time.Second
	// keepAliveMargin is how long before the server's Keep-Alive timeout reuse ends.
	keepAliveMargin = 400 * time.Millisecond
	// maxIdleTimeNonRepeatable is how long a connection may be idle and still carry a call that
	// must not be repeated. If the server closes the connection while the call is sent,
	// it is unknown whether the call ran.
	maxIdleTimeNonRepeatable = time.Second
	// maxHeadBytes bounds what is read before the head of a call's answer is complete, with the answers to earlier
	// calls that are skipped.
	maxHeadBytes = 64 << 10
	// unlimited is the value of headBytes while nothing is limited.
	unlimited = -1
	// maxFailedIDs is the number of refused or failed calls after which a connection is closed.
	maxFailedIDs = 64
	// readBufferBytes is enough for the head of an answer and a few events.
	readBufferBytes = 4 << 10
)

// conn is a connection to a server that at most one call uses at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// headBytes is the number of bytes that may still be read while the head of an answer is expected, and
	// unlimited while its body is read.
	headBytes int
	// recording reports whether received gets what is read.
	recording bool
	// received are the latest bytes read from the connection.
	received []byte
	// readErr is the result of the latest read of the connection, nil if that succeeded.
	readErr error
	// reused reports that the connection has carried an earlier call.
	reused bool
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time
	// maxIdleTime is how long the connection may be idle and still be reused.
	maxIdleTime time.Duration
	// failed are the ids of the calls that the server refused or failed on this connection.
	failed    []string
	closeOnce sync.Once
}

func newConn(dialled net.Conn) *conn {
	created := &conn{Conn: dialled, headBytes: unlimited, maxIdleTime: defaultMaxIdleTime}
	created.reader = bufio.NewReaderSize(readerFunc(created.readLimited), readBufferBytes)
	return created
}

// readerFunc is a function that implements [io.Reader].
type readerFunc func([]byte) (int, error)

// Read calls the function.
func (readerFunc readerFunc) Read(buffer []byte) (int, error) { return readerFunc(buffer) }

// readLimited reads from the connection, at most headBytes while they are limited.
//
// Without the limit, the parser would buffer a status line or a header that never ends until the process has no memory.
func (conn *conn) readLimited(buffer []byte) (int, error) {
	if conn.headBytes == 0 {
		return 0, errHeadTooLong
	}
	if conn.headBytes != unlimited {
		buffer = buffer[:min(len(buffer), conn.headBytes)]
	}
	count, err := conn.Conn.Read(buffer)
	if conn.headBytes != unlimited {
		conn.headBytes -= count
	}
	if conn.recording {
		conn.record(buffer[:count])
	}
	conn.readErr = err
	return count, err
}

func (conn *conn) close() {
	conn.closeOnce.Do(func() { _ = conn.Conn.Close() })
}

// usable reports whether the server has neither closed the connection nor sent bytes that belong to
// no call.
func (conn *conn) usable() bool {
	tcp, ok := conn.Conn.(*net.TCPConn)
	if !ok || conn.reader.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN
		return true
	})
	return err == nil && usable
}

// pool holds the idle connections to one server, the most recently used last.
type pool struct {
	idle *rcu.Cell[[]*conn]
}

func newPool() *pool { return &pool{idle: rcu.New[[]*conn](nil)} }

// take removes and returns the most recently used connection that the call with an id may use, or nil. It closes the
// connections that it skips.
//
// A call is not sent again on a connection on which the server refused it: a faulty server may write the refusal once more, and
// the call would then count as not run while it runs.
func (pool *pool) take(repeatable bool, id string) *conn {
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
		taken.reused = true
		if idle < taken.maxIdleTime && (repeatable || idle < maxIdleTimeNonRepeatable) && !slices.Contains(taken.failed, id) && taken.usable() {
			return taken
		}
		taken.close()
	}
}

// put returns a connection to the pool, and closes those that were idle for too long or exceed maxIdleConns.
func (pool *pool) put(used *conn) {
	used.idleSince = time.Now()
	var dropped []*conn
	pool.idle.Update(func(idle []*conn) []*conn {
		next := make([]*conn, 0, len(idle)+1)
		dropped = dropped[:0]
		for i, kept := range idle {
			if used.idleSince.Sub(kept.idleSince) > kept.maxIdleTime || len(idle)-i >= maxIdleConns {
				dropped = append(dropped, kept)
			} else {
				next = append(next, kept)
			}
		}
		return append(next, used)
	})
	for _, connection := range dropped {
		connection.close()
	}
}

// close removes and closes the idle connections.
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

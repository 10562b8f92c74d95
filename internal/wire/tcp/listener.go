package tcp

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// quietTime is the time for which a draining listener waits for a new connection. It is quiet when quietWaits such
	// waits in a row were in vain. One wait is not enough, since a process that was not scheduled for that time sees the
	// deadline pass before it sees the connections that have arrived.
	quietTime  = 100 * time.Millisecond
	quietWaits = 2
)

// Listener is a TCP listener that can report when no more connections arrive.
type Listener struct {
	*net.TCPListener
	draining atomic.Bool
	// quiet is closed when the listener is draining and no more connections arrive.
	quiet     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen opens address ("IP:port", port 0 for any free port).
func Listen(address string) (*Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenTCP("tcp", resolved)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: listener, quiet: make(chan struct{}), closed: make(chan struct{})}, nil
}

// Accept implements [net.Listener]. Once the listener is quiet, it waits until the listener is closed.
func (listener *Listener) Accept() (net.Conn, error) {
	for waits := 0; ; {
		if listener.draining.Load() {
			waits++
			if err := listener.SetDeadline(time.Now().Add(quietTime)); err != nil {
				return nil, err
			}
		}
		conn, err := listener.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if waits >= quietWaits {
			close(listener.quiet)
			<-listener.closed
			return nil, net.ErrClosed
		}
	}
}

// Close implements [net.Listener].
func (listener *Listener) Close() error {
	listener.closeOnce.Do(func() { close(listener.closed) })
	return listener.TCPListener.Close()
}

// Drain waits until no connection has arrived for 200 ms, while Accept goes on returning connections, or until ctx ends.
func (listener *Listener) Drain(ctx context.Context) {
	listener.draining.Store(true)
	// This ends the call of Accept that waits without a deadline.
	_ = listener.SetDeadline(time.Now())
	select {
	case <-listener.quiet:
	case <-listener.closed:
	case <-ctx.Done():
	}
}

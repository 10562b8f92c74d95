package tcp

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// quietTime is the time for which a draining listener waits for a new connection. It is quiet when quietWaits such
	// waits in a row were in vain. One wait is not enough, since a process that was not scheduled for that time sees the
	// deadline pass before it sees the connections that have arrived.
	quietTime  = 100 * time.Millisecond
	quietWaits = 2
	// acceptPause is the time after which a connection is accepted again when the process or the machine had no descriptor or memory for one.
	acceptPause = 50 * time.Millisecond
)

// Listener is a TCP listener that can report when no more connections arrive.
type Listener struct {
	*net.TCPListener
	draining atomic.Bool
	// quiet is closed when the listener is draining and no more connections arrive.
	quiet     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	// guard is nil if the connections are not bounded.
	guard *Guard
}

// ListenGuarded is [Listen] with connections that guard bounds.
func ListenGuarded(address string, guard *Guard) (*Listener, error) {
	listener, err := Listen(address)
	if err != nil {
		return nil, err
	}
	listener.guard = guard
	return listener, nil
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

// Accept implements [net.Listener]. Once the listener is quiet, it waits until the listener is closed. It closes connections for which there
// is no room, and waits while there are no descriptors.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.accept()
		switch {
		case err != nil && isTemporary(err):
			if listener.pause() != nil {
				return nil, net.ErrClosed
			}
		case err != nil:
			return nil, err
		case listener.guard == nil:
			return accepted, nil
		default:
			if conn := listener.guard.admit(accepted); conn != nil {
				return conn, nil
			}
		}
	}
}

// isTemporary reports whether a connection may be accepted later: the client has gone, or descriptors or memory are used up.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// pause waits for acceptPause, or returns an error when the listener is closed.
func (listener *Listener) pause() error {
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-listener.closed:
		return net.ErrClosed
	}
}

// accept returns the next connection. Once the listener is quiet, it waits until the listener is closed.
func (listener *Listener) accept() (*net.TCPConn, error) {
	for waits := 0; ; {
		if listener.draining.Load() {
			waits++
			if err := listener.SetDeadline(time.Now().Add(quietTime)); err != nil {
				return nil, err
			}
		}
		conn, err := listener.AcceptTCP()
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

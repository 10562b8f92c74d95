package httpserver

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// quietTime is the time for which a stopping server waits for a new connection. It closes its listener when
	// quietWaits such waits in a row were in vain: closing it resets the connections in its queue, with the requests that
	// callers have sent on them. One wait is not enough, since a process that was not scheduled for that time sees the
	// deadline pass before it sees the connections that have arrived.
	quietTime  = 100 * time.Millisecond
	quietWaits = 2
)

// drainListener is a listener that can report when no more connections arrive.
type drainListener struct {
	*net.TCPListener
	draining atomic.Bool
	// quiet is closed when the listener is draining and no more connections arrive.
	quiet     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newDrainListener(listener *net.TCPListener) *drainListener {
	return &drainListener{TCPListener: listener, quiet: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements [net.Listener]. Once the listener is quiet, it waits until the listener is closed.
func (drainListener *drainListener) Accept() (net.Conn, error) {
	for waits := 0; ; {
		if drainListener.draining.Load() {
			waits++
			if err := drainListener.SetDeadline(time.Now().Add(quietTime)); err != nil {
				return nil, err
			}
		}
		conn, err := drainListener.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if waits >= quietWaits {
			close(drainListener.quiet)
			<-drainListener.closed
			return nil, net.ErrClosed
		}
	}
}

// Close implements [net.Listener].
func (drainListener *drainListener) Close() error {
	drainListener.closeOnce.Do(func() { close(drainListener.closed) })
	return drainListener.TCPListener.Close()
}

// drain waits until no more connections arrive, for at most limit.
func (drainListener *drainListener) drain(limit time.Duration) {
	drainListener.draining.Store(true)
	// This ends the call of Accept that waits without a deadline.
	_ = drainListener.SetDeadline(time.Now())
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-drainListener.quiet:
	case <-drainListener.closed:
	case <-timer.C:
	}
}

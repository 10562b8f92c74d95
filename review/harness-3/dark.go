//go:build review3

package main

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// fillers is the number of connections that fill the queue of a socket whose length is 0.
const fillers = 3

// gate is the listener of one start of a runner. It accepts nothing more once that is dark.
type gate struct {
	*net.TCPListener
	runner *runner
	id     string
	closed chan struct{}
	once   sync.Once
}

// Accept implements [net.Listener].
func (gate *gate) Accept() (net.Conn, error) {
	conn, err := gate.TCPListener.Accept()
	if err != nil || !gate.runner.isDark(gate.id) {
		return conn, err
	}
	<-gate.closed
	_ = conn.Close()
	return nil, net.ErrClosed
}

// Close implements [net.Listener].
func (gate *gate) Close() error {
	gate.once.Do(func() { close(gate.closed) })
	return gate.TCPListener.Close()
}

// isDark reports whether the start of the runner with an id has crashed and left its connections silent.
func (runner *runner) isDark(id string) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.dark && runner.crashed == id
}

// hangNewConnections makes the kernel drop the first packets of new connections, as if no machine were there: the queue of the socket gets
// the length 0 and is filled.
func (runner *runner) hangNewConnections() {
	raw, err := runner.socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	address := runner.address
	for range fillers {
		go func() {
			if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
				time.Sleep(3 * time.Second)
				_ = conn.Close()
			}
		}()
	}
}

// awaitEnd waits until the connection of a request at a dark runner ends.
func awaitEnd(request *http.Request) {
	<-request.Context().Done()
	panic(http.ErrAbortHandler)
}

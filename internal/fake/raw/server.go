package raw

import (
	"fmt"
	"io"
	"net"
	"time"
)

// Server accepts connections on a free port of the loopback interface.
type Server struct{ listener net.Listener }

// NewServer starts a server that calls serve for each connection, in a goroutine of its own. It panics without a free port, like
// [net/http/httptest.NewServer].
func NewServer(serve func(conn net.Conn)) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback
	if err != nil {
		panic(fmt.Sprint("raw: no free port: ", err))
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return &Server{listener}
}

// Address returns the IP address and port of the server.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Close stops the server. Open connections stay.
func (server *Server) Close() { _ = server.listener.Close() }

// AnswerAndReset returns a function for [NewServer] that answers a call at once with a text, without reading more than its beginning, and
// resets the connection after a pause, while the client still writes a large body.
func AnswerAndReset(text string, pause time.Duration) func(conn net.Conn) {
	return func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(conn, text)
		time.Sleep(pause) // In real time: the buffers of real sockets decide whether the client sees the reset by a write or a read.
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Makes Close discard what was not delivered and send a reset.
		}
		_ = conn.Close()
	}
}

// ResetPauses are pauses for [AnswerAndReset] with which clients see the reset by a write first, by a read first, and by both at once.
func ResetPauses() []time.Duration {
	return []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond}
}

// UnreadBodyBytes is the size of a body that exceeds the buffers of a connection, so that it is still being written when the connection
// is reset.
const UnreadBodyBytes = 8 << 20

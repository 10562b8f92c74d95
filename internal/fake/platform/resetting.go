package platform

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// ResettingServer is a stand-in for a backend server that answers each call at once, without reading its body, and resets the connection.
type ResettingServer struct {
	listedServer
	pause time.Duration
}

// NewResettingServer starts a server on a free port of the loopback interface that resets each connection a while after the answer.
func NewResettingServer(id string, pause time.Duration) *ResettingServer {
	server := &ResettingServer{listedServer{id: id}, pause}
	server.listen(server.serve)
	return server
}

// Close stops the server.
func (server *ResettingServer) Close() { _ = server.http.Config.Close() }

// serve answers with the status in the query, or with 200, neither a length nor chunks, and the beginning of an answer.
func (server *ResettingServer) serve(writer http.ResponseWriter, request *http.Request) {
	attempt := server.sign(writer, request)
	if strings.HasPrefix(request.URL.Path, "/stream/") {
		writer.Header().Set("Content-Type", "text/event-stream")
	}
	status := request.URL.Query().Get("status")
	conn, fields, err := hijack(writer)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if status != "" {
		_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\n"+fields+"Content-Length: 0\r\n\r\n")
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+encodeEvent(attempt, 0))
	time.Sleep(server.pause) // In real time: the buffers of real sockets decide how the client sees the reset.
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

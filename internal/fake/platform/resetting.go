package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// ResettingServer is a stand-in for a backend server that answers each call at once, without reading its body, and resets the connection.
type ResettingServer struct {
	id    string
	pause time.Duration
	http  *httptest.Server
}

// NewResettingServer starts a server on a free port of the loopback interface that resets each connection a while after the answer.
func NewResettingServer(id string, pause time.Duration) *ResettingServer {
	server := &ResettingServer{id: id, pause: pause}
	server.http = httptest.NewServer(http.HandlerFunc(server.serve))
	return server
}

// Close stops the server.
func (server *ResettingServer) Close() { _ = server.http.Config.Close() }

// Item returns the value that registers the server in the metadata store, as JSON.
func (server *ResettingServer) Item(service, zone string) []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":1000,"State":"ready","ColdRemainingMs":0,"Sequence":1}`,
		service, strings.TrimPrefix(server.http.URL, "http://"), zone)
}

// serve answers with the status in the query, or with 200, neither a length nor chunks, and the beginning of an answer.
func (server *ResettingServer) serve(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Rosemaryspar-Attempt-Id")
	writer.Header().Set("X-Rosemaryspar-Attempt-Id", attempt)
	writer.Header().Set("X-Rosemaryspar-Upstream-Seal", server.id+"."+attempt)
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

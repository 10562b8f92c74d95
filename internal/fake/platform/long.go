package platform

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The pieces of the answers of a [LongServer], 64 MiB together.
const (
	longPieceBytes = 16 << 10
	longPieces     = 4 << 10
)

// LongServer is a stand-in for a backend server whose answers are long: a stream of events below /stream/, and bytes elsewhere.
type LongServer struct{ listedServer }

// NewLongServer starts a server on a free port of the loopback interface.
func NewLongServer(id string) *LongServer {
	server := &LongServer{listedServer{id: id}}
	server.listen(server.serve)
	return server
}

// Close stops the server and closes all its connections.
func (server *LongServer) Close() {
	server.http.CloseClientConnections()
	_ = server.http.Config.Close()
}

// serve writes a long answer until its reader has gone.
func (server *LongServer) serve(writer http.ResponseWriter, request *http.Request) {
	server.sign(writer, request)
	isStream := strings.HasPrefix(request.URL.Path, "/stream/")
	if isStream {
		writer.Header().Set("Content-Type", "text/event-stream")
	}
	piece := strings.Repeat("x", longPieceBytes)
	for i := range longPieces {
		text := piece
		if isStream {
			text = fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, piece)
		}
		if _, err := writer.Write([]byte(text)); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
}

// CallHead returns the head of a call as a caller writes it, with further fields, and a minute until its deadline.
func CallHead(path, host, key, attempt, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\nX-Rosemaryspar-Attempt-Id: " + attempt +
		"\r\nX-Rosemaryspar-Deadline-Ms: 60000\r\n" + fields + "\r\n"
}

// SetCallFields sets the host and the fields of a call of a caller, with a time until its deadline.
func SetCallFields(request *http.Request, host, key, attempt string, timeLeft time.Duration) {
	request.Host = host
	request.Header.Set("X-Rosemaryspar-Attempt-Id", attempt)
	request.Header.Set("X-Rosemaryspar-Deadline-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
}

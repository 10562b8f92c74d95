package http2server

import (
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

const (
	// maxHeaderBytes bounds the head of a stream, in bytes. The heads of calls between entries have less than 1 KiB.
	maxHeaderBytes = 4 << 10
	// maxStreams bounds the streams of a connection. A client with more calls opens a further connection.
	maxStreams = 16
	// receiveWindow is what a connection and each of its streams may receive before it is read, in bytes. It is the least that HTTP/2 allows
	// for a connection, and enough for 3 MB a second with a round trip of 20 ms between regions.
	receiveWindow = 64<<10 - 1
	// maxFrameBytes is the largest frame, in bytes. Each connection has a buffer for one.
	maxFrameBytes = 16 << 10
	// readHeaderTimeout closes connections on which no request arrives.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time in which a call arrives. It is longer than clients wait for one.
	readTimeout = 10 * time.Second
	// writeTimeout closes connections whose client does not read what waits for it.
	writeTimeout = 10 * time.Second
)

// New returns a server of calls between entries, with messages of at most maxMessage bytes. Its listener should be guarded by
// [tcp.NewStreamGuard], which closes idle connections.
//
// The server itself has no timeouts for reading and idle connections. net/http starts the timer of idle connections once more when it ends
// the streams of a connection that is closed, and keeps their bodies in memory until the timer expires.
func New(handler http.Handler, maxMessage int) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           boundStreams(handler, maxMessage),
		Protocols:         protocols,
		ConnContext:       tcp.ConnContext,
		ConnState:         tcp.ConnState,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: receiveWindow,
			MaxReceiveBufferPerStream:     receiveWindow,
			MaxReadFrameSize:              maxFrameBytes,
			WriteByteTimeout:              writeTimeout,
		},
	}
}

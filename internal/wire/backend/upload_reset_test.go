package backend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

const (
	// uploadBytes is larger than the buffers of a connection, so that the upload is still being written when it is reset.
	uploadBytes = 8 << 20
	// uploads is how often each pause is repeated, so that the reset is seen by the write first, by the read first, and by both at once.
	uploads = 40
)

// answerAndReset answers each call at once with the text, and resets the connection after a pause, without reading the body.
func answerAndReset(t *testing.T, text string, pause time.Duration) directory.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(conn, text)
				time.Sleep(pause)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return directory.Server{ID: "s1", Address: listener.Addr().String()}
}

// Guards against a part of an answer without a length that counts as a whole one, when the server resets the connection while the call is
// still being written: the error of the connection is returned once, by the write if that sees it first, and reading then ends in order.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			server, client := answerAndReset(t, "HTTP/1.1 200 OK\r\nId: r0\r\n\r\nhel", pause), backend.New(codec{})
			for range uploads {
				body, err := fetch(client, server, request("r0", uploadBytes))
				require.Error(t, err, "the body %q counts as whole", body)
			}
		})
	}
}

// Guards against a status that is none and is passed on as that of an answer, and against an interim answer that counts as the last one.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "700", "999", "100", "101", "103", "199"} {
		server, client := serve(t, &script{answers: []string{"HTTP/1.1 " + status + " Odd\r\nId: ID\r\nContent-Length: 0\r\n\r\n"}, end: "close"}), backend.New(codec{})
		answer, failure := client.Open(t.Context(), server, request("r0", 1), nil)
		if !assert.NotNil(t, failure, status) {
			answer.Close()
		}
	}
	server := serve(t, &script{answers: []string{"HTTP/1.1 200 \r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"}})
	answer, failure := backend.New(codec{}).Open(t.Context(), server, request("r0", 1), nil)
	require.Nil(t, failure, "a status without a reason")
	defer answer.Close()
	assert.Equal(t, http.StatusOK, answer.Head().Status)
}

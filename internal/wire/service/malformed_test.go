package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

// Guards against bytes of a faulty service that are recorded and passed on as the answer of a booking although they are none. The booking
// may have run, so its outcome is left open.
func TestMalformedAnswersOfServicesAreFailures(t *testing.T) {
	cases := []struct {
		name, answer string
		status       int
	}{
		{"sound", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200},
		{"sound, without a body", "HTTP/1.1 204 No Content\r\n\r\n", 204},
		{"sound, error", "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nno", 599},
		{"sound, after an interim answer", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200},
		{"no HTTP", "garbage", 0},
		{"status 0", "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok", 0},
		{"status below any", "HTTP/1.1 042 Odd\r\nContent-Length: 2\r\n\r\nok", 0},
		{"status beyond any", "HTTP/1.1 700 Odd\r\nContent-Length: 2\r\n\r\nok", 0},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nok", 0},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", 0},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", 0},
		{"fewer bytes than the length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", 0},
		{"garbage below the framing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\ngarbage", 0},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", 0},
		{"field that is none", "HTTP/1.1 200 OK\r\ngarbage\r\nContent-Length: 2\r\n\r\nok", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := backend.Server{Backend: config.Backend{Name: "s1", Address: answerOnce(t, c.answer)}}
			answer, err := service.New(time.Second).Do(t.Context(), server, call.Request{
				Account: "desk", IdempotencyKey: "k", Operation: call.Operation{Method: http.MethodPost, Path: "/orders"},
			})
			if c.status != 0 {
				require.NoError(t, err)
				assert.Equal(t, c.status, answer.Status)
				return
			}
			var failure *call.Failure
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, call.RanUnknown, failure.Ran)
			assert.Equal(t, "s1", failure.Peer)
			assert.Zero(t, answer)
		})
	}
}

// answerOnce starts a server that answers one request with fixed bytes and closes the connection, and returns its address.
func answerOnce(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
	}()
	return listener.Addr().String()
}

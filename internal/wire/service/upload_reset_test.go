package service_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

const (
	// uploadBytes is larger than the buffers of a connection, so that the upload is still being written when it is reset.
	uploadBytes = 8 << 20
	// uploads is how often each pause is repeated, so that the reset is seen by the write first, by the read first, and by both at once.
	uploads = 40
)

// Guards against a part of an answer without a length that is recorded and passed on as a whole one, when the service resets the connection
// while the operation is still being written.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
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
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhel")
						time.Sleep(pause)
						_ = conn.(*net.TCPConn).SetLinger(0)
						_ = conn.Close()
					}()
				}
			}()
			server, client := backend.Server{Backend: config.Backend{Name: "s1", Address: listener.Addr().String()}}, service.New(time.Second)
			for _, key := range []string{"k", ""} {
				for range uploads {
					answer, err := client.Do(t.Context(), server, call.Request{
						Account: "desk", IdempotencyKey: key, Operation: call.Operation{Method: http.MethodPost, Path: "/orders", Body: make([]byte, uploadBytes)},
					})
					require.Error(t, err, "the body %q counts as whole", answer.Body)
				}
			}
		})
	}
}

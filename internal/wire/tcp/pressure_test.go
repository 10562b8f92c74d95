package tcp_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// Guards against pressure that closes a connection between the check that it has room for a call and the beginning of the call, which is then
// cancelled, and against totals that drift.
func TestPressureClosesNoCallThatBegins(t *testing.T) {
	var calls, cancelled atomic.Int64
	guard, address := listenGuarded(t, intake.Limits{Descriptors: 30}, 8<<10, 0, func(guard *tcp.Guard) http.Handler {
		return guard.Handler(http.HandlerFunc(func(_ http.ResponseWriter, incoming *http.Request) {
			calls.Add(1)
			select {
			case <-incoming.Context().Done():
				cancelled.Add(1)
			case <-time.After(time.Millisecond): // Long enough for other connections to arrive and be in need of room.
			}
		}), 0)
	})
	var clients sync.WaitGroup
	for range 60 {
		clients.Go(func() {
			for range 40 {
				conn, err := net.Dial("tcp", address) //nolint:noctx // loopback
				if err != nil {
					continue
				}
				_, _ = io.WriteString(conn, get)
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, _ = conn.Read(make([]byte, 12))
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
	assert.Positive(t, calls.Load())
	assert.Zero(t, cancelled.Load(), "of %d calls", calls.Load())
	awaitDescriptors(t, guard, 0)
	bytes, _ := guard.Held()
	assert.Zero(t, bytes)
}

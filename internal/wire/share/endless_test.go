package share_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	wireshare "github.com/rosemaryspar/rosemaryspar/internal/wire/share"
)

// Guards against a peer that answers an exchange with bytes without end, fast or slowly: the call must end by its
// deadline with an error and cancel the answer at the peer. What it reads beyond the largest message is discarded.
func TestPeerThatAnswersWithoutEndIsGivenUp(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		var answering atomic.Int64
		server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			answering.Add(1)
			defer answering.Add(-1)
			writer.Header().Set("Content-Type", "application/proto")
			for request.Context().Err() == nil {
				if _, err := writer.Write(make([]byte, 16<<10)); err != nil {
					return
				}
				_ = http.NewResponseController(writer).Flush()
				time.Sleep(pause)
			}
		})}
		go func() { _ = server.Serve(listener) }()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		startedAt := time.Now()
		_, err = wireshare.NewClient().Exchange(ctx, listener.Addr().String(), share.StateMessage{})
		assert.Error(t, err)
		assert.Less(t, time.Since(startedAt), 2*time.Second)
		assert.Eventually(t, func() bool { return answering.Load() == 0 }, time.Second, 10*time.Millisecond)
		cancel()
		assert.NoError(t, server.Close())
	}
}

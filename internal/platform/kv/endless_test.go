package kv_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// endlessService answers each call with a status and the beginning of an answer, followed by bytes without end, and counts
// the bytes that it could send.
type endlessService struct {
	status int
	begin  string
	sent   atomic.Int64
}

func (service *endlessService) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(service.status)
	_, _ = io.WriteString(writer, service.begin)
	filler := []byte(strings.Repeat("x", 64<<10))
	for {
		count, err := writer.Write(filler)
		service.sent.Add(int64(count))
		if err != nil {
			return
		}
	}
}

// Guards against answers without end from the key-value service, which filled the memory until the call's timeout, or, in
// a watch, until the watch was opened again.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	const maxBytes = 64 << 20 // the largest answer that a client accepts, and what the connection buffers
	cases := []struct {
		name    string
		service *endlessService
		call    func(*kv.Client) error
	}{
		{"read", &endlessService{status: http.StatusOK, begin: `{"kvs":[{"key":"`}, func(client *kv.Client) error {
			_, err := client.Range(t.Context(), "a", "", 1)
			return err
		}},
		{"error of a read", &endlessService{status: http.StatusServiceUnavailable, begin: `{"message":"`}, func(client *kv.Client) error {
			_, err := client.Range(t.Context(), "a", "", 1)
			return err
		}},
		{"write", &endlessService{status: http.StatusOK, begin: `{"header":{"revision":"`}, func(client *kv.Client) error {
			_, err := client.Put(t.Context(), "a", nil, 0)
			return err
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := startEndless(t, c.service)
			began := time.Now()
			var unanswered *kv.UnansweredError
			require.ErrorAs(t, c.call(client), &unanswered)
			assert.Less(t, time.Since(began), 10*time.Second)
			assert.Less(t, c.service.sent.Load(), int64(maxBytes))
		})
	}
	t.Run("event of a watch", func(t *testing.T) {
		service := &endlessService{status: http.StatusOK, begin: `{"result":{"events":[{"kv":{"key":"`}
		client := startEndless(t, service)
		go func() { _ = client.Watch(t.Context(), "a", 1, func(kv.Event) error { return nil }) }()
		require.Eventually(t, func() bool { return service.sent.Load() > 1<<20 }, 10*time.Second, 10*time.Millisecond)
		before := int64(0)
		require.Eventually(t, func() bool {
			sent := service.sent.Load()
			stopped := sent == before
			before = sent
			return stopped
		}, 10*time.Second, 300*time.Millisecond, "the answer is still being read")
		assert.Less(t, service.sent.Load(), int64(maxBytes))
	})
}

// startEndless returns a client of the service whose watches stay open for a minute, and which tries once.
func startEndless(t *testing.T, service *endlessService) *kv.Client {
	t.Helper()
	server := httptest.NewServer(service)
	settings := kv.DefaultSettings(server.Listener.Addr().String())
	settings.Timeout, settings.ReadAttempts = 20*time.Second, 1
	settings.WatchPeriod, settings.Backoff, settings.BackoffLimit = time.Minute, time.Minute, time.Minute
	client := kv.New(settings)
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// Guards against a large value, such as a checkpoint of the configuration, that is never read on a slow link, since the call
// times out while the answer is arriving and starts again, and against an answer that stops arriving and holds the call.
func TestLongAnswerIsReadAsLongAsItArrives(t *testing.T) {
	// A value of 700 KB in base64, at less than half of a link of 10 Mbit/s, to a client with a timeout of a second.
	const timeout, valueBytes, pieceBytes, pause = time.Second, 700_000, 25_000, 50 * time.Millisecond
	answer := `{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"` + strings.Repeat("AAAA", valueBytes/3) + `","mod_revision":"7"}]}`
	for name, arriving := range map[string]int{"all of it": len(answer), "half of it": len(answer) / 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				for rest := answer[:arriving]; rest != ""; {
					piece := rest[:min(pieceBytes, len(rest))]
					_, _ = io.WriteString(writer, piece)
					writer.(http.Flusher).Flush()
					rest = rest[len(piece):]
					time.Sleep(pause) // the rate of a link, on a real socket
				}
				if arriving < len(answer) {
					<-request.Context().Done()
				}
			}))
			t.Cleanup(server.Close)
			settings := kv.DefaultSettings(server.Listener.Addr().String())
			settings.Timeout, settings.ReadAttempts = timeout, 1
			client := kv.New(settings)
			t.Cleanup(client.Close)
			began := time.Now()
			items, err := client.Range(t.Context(), "a", "", 1)
			if arriving < len(answer) {
				assert.Error(t, err)
				// The timeout, and the time for half of 0.93 MB at a quarter of a megabyte a second.
				assert.Less(t, time.Since(began), 4*time.Second)
				return
			}
			require.NoError(t, err)
			assert.NotEmpty(t, items)
		})
	}
}

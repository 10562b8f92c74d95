package serve_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
	"github.com/rosemaryspar/rosemaryspar/internal/process/serve"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// configuredStore starts a key-value service with a configuration that takes some time to put in force, and returns its address.
// It has the service "stock" and an account with the access key "secret".
func configuredStore(t *testing.T) string {
	store, err := fakekv.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, store.Close()) })
	hash := sha256.Sum256([]byte("secret"))
	change := config.Change{
		ID: "1", Revision: 1,
		Accounts: []config.Account{{Name: "desk", KeyHash: hex.EncodeToString(hash[:]), Weight: 1}},
		Services: []config.Service{{Name: "stock", Protocol: config.ProtocolPlain, Repeat: config.RepeatIdempotent, Selector: "role=stock", TimeoutMs: 1000}},
	}
	for i := range 2000 {
		change.Backends = append(change.Backends, config.Backend{Name: fmt.Sprint("runner-", i), Address: "127.0.0.1:1", Domain: "quimper", Slots: 4})
	}
	payload, err := document.Encode(change)
	require.NoError(t, err)
	client := kv.New(kv.DefaultSettings(store.Address()))
	defer client.Close()
	require.NoError(t, kvlog.New(client, pipeconfig.Layout("rosemaryspar/config").LogPrefix()).Append(t.Context(), kvlog.Entry{Number: 1, WriteID: "1", Payload: payload}))
	return store.Address()
}

// statusOf returns the status of the answer to a request, 0 without an answer.
func statusOf(t *testing.T, method, url string) int {
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(nil))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer secret")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Guards against an entry that turns ready before the configuration that it has read is in force: it refused valid keys and
// services. The test runs in real time, since the entry uses sockets.
func TestReadyEntryHasItsConfigurationInForce(t *testing.T) {
	address := configuredStore(t)
	for range 2 {
		settings := entrySettings()
		settings.KVAddresses, settings.KVCallsPerSecond = []string{address}, 1000
		settings.StopDelay, settings.StopTimeout, settings.HandoverTime = 0, time.Second, 0
		entry, err := serve.New(settings, zerolog.New(io.Discard))
		require.NoError(t, err)
		serving, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- entry.Run(serving) }()
		assert.Eventually(t, func() bool {
			return statusOf(t, http.MethodGet, "http://"+entry.OperatorAddress()+"/readyz") == http.StatusOK
		}, 20*time.Second, time.Millisecond)
		status := statusOf(t, http.MethodGet, "http://"+entry.CallerAddress()+"/services/stock/item")
		assert.Equal(t, http.StatusServiceUnavailable, status, "no server has the service, but the key and the service are known")
		stop()
		assert.NoError(t, <-ended)
	}
}

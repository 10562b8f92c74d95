package main_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

// resetUploads is the number of calls for each path and pause, and resetUploadBytes the size of their bodies, larger than the buffers of a
// connection.
const (
	resetUploads     = 20
	resetUploadBytes = 3 << 20
)

// Guards against a running entry that passes on the part of an answer as a whole one, when its server answers a long upload at once without a
// length and resets the connection while the upload is still being written; and one that passes on a status that is none.
func TestInvalidAnswersOfServersReachNoCaller(t *testing.T) {
	// The client of the entry sees the reset by a write or by a read first.
	for _, pause := range []time.Duration{0, time.Millisecond} {
		deployment := newLimitedEntry(t)
		server := platform.NewResettingServer("i-reset", pause)
		t.Cleanup(server.Close)
		deployment.putServer("i-reset", server.Item("long", "a"))
		awaitServer(t, deployment)
		for _, path := range []string{"/stock/long", "/stream/long"} {
			for i := range resetUploads {
				status, body, err := sendCall(t, deployment, fmt.Sprintf("%s-%v-%d", path[1:3], pause, i), path, resetUploadBytes)
				assert.False(t, err == nil && status == http.StatusOK, "%s, pause %v: the part %q is a whole answer", path, pause, body)
			}
			for _, none := range []string{"000", "099", "600", "999", "100", "103"} {
				status, _, err := sendCall(t, deployment, fmt.Sprintf("%s-%v-%s", path[1:3], pause, none), path+"?status="+none, 10)
				require.NoError(t, err)
				assert.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}, status, "%s: status %s", path, none)
			}
		}
	}
}

// awaitServer waits until the entry knows the server of the service "long".
func awaitServer(t *testing.T, deployment *deployment) {
	t.Helper()
	require.Eventually(t, func() bool {
		return strings.Contains(scrape(t, deployment.readyAddresses[0]), "rosemaryspar_servers_listed 2")
	}, 20*time.Second, 20*time.Millisecond, "the runner and the server are not both known")
}

// sendCall sends a call with a body of some bytes on a new connection.
func sendCall(t *testing.T, deployment *deployment, attempt, path string, size int) (status int, body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+deployment.frontAddresses[0]+path, strings.NewReader(strings.Repeat("x", size)))
	require.NoError(t, err)
	platform.SetCallFields(request, "soak.example", "k1", attempt, 5*time.Second)
	return roundTrip(request)
}

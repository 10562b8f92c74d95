package serve_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/process/serve"
	"github.com/rosemaryspar/rosemaryspar/internal/process/settings"
)

// Guards against an entry that is still serving when its VM is reclaimed, either because it stops only on a
// signal or because its stop takes longer than the reclaim notice.
func TestReclaimNoticeStopsTheEntry(t *testing.T) {
	// An entry ignores a notice from before its start, which concerns an earlier incarnation.
	leavingSince := time.Now().Add(time.Second)
	list := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(writer, `{"Vms":[{"Name":"entry-1","Kind":"Entry","Domain":"quimper","State":"Leaving","LeavingSince":%q}]}`, leavingSince.Format(time.RFC3339Nano))
	}))
	defer list.Close()
	entry, err := serve.New(settings.Settings{
		Name: "entry-1", Domain: "quimper", Region: "local",
		CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		KVAddresses: []string{"127.0.0.1:1"}, KVCallsPerSecond: 10, VMListURL: list.URL, MaxBodyBytes: 1024,
		DialTimeout: time.Second, StopDelay: time.Hour, StopTimeout: time.Hour,
		HandoverTime: time.Second, ReclaimNotice: 2 * time.Second,
	}, zerolog.New(io.Discard))
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- entry.Run(t.Context()) }()
	// The test runs in real time, since the entry uses sockets. An entry that ignores the notice runs for an hour.
	select {
	case err := <-ended:
		assert.NoError(t, err)
	case <-time.After(time.Minute):
		assert.Fail(t, "the entry did not stop within 1 min of its reclaim notice of 2 s")
	}
}

// entrySettings returns the settings of an entry on free ports that reaches no key-value service.
func entrySettings() settings.Settings {
	return settings.Settings{
		Name: "entry-1", Domain: "quimper", Region: "local",
		CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		KVAddresses: []string{"127.0.0.1:1"}, KVCallsPerSecond: 10, MaxBodyBytes: 1024,
		DialTimeout: time.Second, StopDelay: time.Hour, StopTimeout: time.Hour,
		HandoverTime: time.Second, ReclaimNotice: 2 * time.Second,
	}
}

// Guards against addresses that stay open after an entry could not be built, so that the next attempt fails.
func TestFailedStartClosesItsAddresses(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	settings := entrySettings()
	settings.CallerAddress, settings.OperatorAddress = free.Addr().String(), taken.Addr().String()
	require.NoError(t, free.Close())
	_, err = serve.New(settings, zerolog.New(io.Discard))
	require.Error(t, err)
	free, err = net.Listen("tcp", settings.CallerAddress)
	require.NoError(t, err, "the address for callers is still open")
	require.NoError(t, free.Close())
}

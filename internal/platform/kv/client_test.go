package kv_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

var errEnough = errors.New("enough events")

// start returns a fake service and a client of it, whose settings change adapts.
func start(t *testing.T, change func(kv.Settings) kv.Settings) (*fakekv.Server, *kv.Client) {
	t.Helper()
	server, err := fakekv.Start("127.0.0.1:0")
	require.NoError(t, err)
	settings := kv.DefaultSettings(server.Address())
	settings.Timeout, settings.CallsPerSecond, settings.Backoff = time.Second, 1000, time.Millisecond
	client := kv.New(change(settings))
	t.Cleanup(func() {
		client.Close()
		require.NoError(t, server.Close())
	})
	return server, client
}

func unchanged(settings kv.Settings) kv.Settings { return settings }

// Guards against returning a failed write without the error type that says whether it took effect,
// for each fault of the service.
func TestWriteUnderFault(t *testing.T) {
	var conflict *kv.ConflictError
	var unanswered *kv.UnansweredError
	var tooLarge *kv.TooLargeError
	shortTimeout := func(settings kv.Settings) kv.Settings {
		settings.Timeout = 50 * time.Millisecond
		return settings
	}
	// Under the race detector, a message of 1.4 MB takes 0.3 s on an idle machine.
	longTimeout := func(settings kv.Settings) kv.Settings {
		settings.Timeout = 30 * time.Second
		return settings
	}
	cases := []struct {
		name     string
		faults   fakekv.Faults
		settings func(kv.Settings) kv.Settings
		key      string
		value    []byte
		want     any
		// stored reports whether the write took effect.
		stored bool
	}{
		{"none", fakekv.Faults{}, unchanged, "new", []byte("1"), nil, true},
		{"present", fakekv.Faults{}, unchanged, "old", []byte("1"), &conflict, false},
		{"lost answer", fakekv.Faults{LoseAnswers: 1}, unchanged, "new", []byte("1"), &unanswered, true},
		{"delay", fakekv.Faults{Delay: 20 * time.Millisecond}, unchanged, "new", []byte("1"), nil, true},
		{"delay over timeout", fakekv.Faults{Delay: 300 * time.Millisecond}, shortTimeout, "new", []byte("1"), &unanswered, false},
		{"outage", fakekv.Faults{Out: true}, unchanged, "new", []byte("1"), &unanswered, false},
		{"too large", fakekv.Faults{}, longTimeout, "new", make([]byte, 1<<20+1), &tooLarge, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, client := start(t, c.settings)
			_, err := client.Create(t.Context(), "old", []byte("0"))
			require.NoError(t, err)
			server.Inject(func(fakekv.Faults) fakekv.Faults { return c.faults })
			_, err = client.Create(t.Context(), c.key, c.value)
			if c.want == nil {
				require.NoError(t, err)
			} else {
				require.ErrorAs(t, err, c.want)
			}
			if c.want == any(&conflict) {
				assert.Equal(t, "0", string(conflict.Current.Value), "a conflict error contains the current value")
			}
			items := server.State().Items("new", "")
			assert.Equal(t, c.stored, len(items) == 1)
		})
	}
}

// Guards against watches that lose, repeat or reorder changes, for each fault of the service.
func TestWatchUnderFault(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(*fakekv.Server)
		want    []kv.EventKind
	}{
		{"none", func(*fakekv.Server) {}, []kv.EventKind{kv.EventPut, kv.EventPut, kv.EventDelete}},
		{"duplicate events", func(server *fakekv.Server) {
			server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithDuplicateEvents(true) })
		}, []kv.EventKind{kv.EventPut, kv.EventPut, kv.EventDelete}},
		{"outage", func(server *fakekv.Server) {
			server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(true) })
			time.AfterFunc(20*time.Millisecond, func() {
				server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(false) })
			})
		}, []kv.EventKind{kv.EventPut, kv.EventPut, kv.EventDelete}},
		{"compaction", func(server *fakekv.Server) { server.Compact() }, []kv.EventKind{kv.EventReload, kv.EventPut}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, client := start(t, unchanged)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			firstRevision, err := client.Create(ctx, "p/a", []byte("1"))
			require.NoError(t, err)
			_, err = client.Create(ctx, "p/b", []byte("2"))
			require.NoError(t, err)
			require.NoError(t, client.Delete(ctx, "p/a", ""))
			_, err = client.Create(ctx, "q/outside", nil)
			require.NoError(t, err)
			c.disturb(server)
			var kinds []kv.EventKind
			err = client.Watch(ctx, "p/", firstRevision, func(event kv.Event) error {
				kinds = append(kinds, event.Kind)
				if len(kinds) == len(c.want) {
					return errEnough
				}
				return nil
			})
			require.ErrorIs(t, err, errEnough)
			assert.Equal(t, c.want, kinds)
		})
	}
}

// Guards against a watch that continues after the end of its context and keeps its connection open.
func TestWatchEndsWithItsContext(t *testing.T) {
	_, client := start(t, unchanged)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	err := client.Watch(ctx, "p/", 0, func(kv.Event) error { return nil })
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against a client that makes more calls than its rate limit allows.
func TestCallsKeepToTheBudget(t *testing.T) {
	server, client := start(t, func(settings kv.Settings) kv.Settings {
		settings.CallsPerSecond, settings.Burst, settings.Timeout = 1, 3, 50*time.Millisecond
		return settings
	})
	for range 10 {
		_, _, _ = client.Get(t.Context(), "a")
	}
	assert.Equal(t, int64(3), server.Calls())
}

// Guards against a holder that still acts when its lease may have ended and another holder may have the key.
func TestLeaseIsHeldOnlyWhileItsClockSaysSo(t *testing.T) {
	server, client := start(t, unchanged)
	lease, err := client.Grant(t.Context(), time.Second)
	require.NoError(t, err)
	assert.True(t, lease.Held())
	revoked, err := client.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	require.NoError(t, revoked.Revoke(t.Context()))
	assert.False(t, revoked.Held())
	require.ErrorIs(t, revoked.KeepAlive(t.Context()), kv.ErrLeaseLost)
	require.NoError(t, lease.KeepAlive(t.Context()))
	assert.True(t, lease.Held())
	server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(true) })
	require.ErrorIs(t, lease.KeepAliveUntilLost(t.Context()), kv.ErrLeaseLost)
	assert.False(t, lease.Held(), "no renewal has succeeded since the outage began")
}

// Guards against a holder that acts again after it has given its lease up, because the answer to an earlier renewal
// arrives after that; the next holder may act by then.
func TestRenewalAnsweredAfterTheRevocationChangesNothing(t *testing.T) {
	renewing, revoked := make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/v3/lease/grant", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"ID":"7","TTL":"60"}`))
	})
	mux.HandleFunc("/v3/lease/keepalive", func(writer http.ResponseWriter, _ *http.Request) {
		close(renewing)
		<-revoked
		_, _ = writer.Write([]byte(`{"result":{"ID":"7","TTL":"60"}}`))
	})
	mux.HandleFunc("/v3/lease/revoke", func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(`{}`)) })
	server := httptest.NewServer(mux)
	defer server.Close()
	client := kv.New(kv.DefaultSettings(strings.TrimPrefix(server.URL, "http://")))
	defer client.Close()
	lease, err := client.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- lease.KeepAlive(t.Context()) }()
	<-renewing
	require.NoError(t, lease.Revoke(t.Context()))
	close(revoked)
	require.NoError(t, <-ended)
	assert.False(t, lease.Held())
}

// Guards against a client that keeps calling an address at which the service no longer runs.
func TestCallsMoveOnToAnotherAddress(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	withClosedAddress := func(settings kv.Settings) kv.Settings {
		settings.Addresses = append([]string{closed.Addr().String()}, settings.Addresses...)
		return settings
	}
	_, first := start(t, withClosedAddress)
	_, err = first.Put(t.Context(), "a", nil, 0)
	require.Error(t, err, "a write is not retried")
	assert.Equal(t, closed.Addr().String(), fault.Peer(err), "the error names the address that failed")
	server, client := start(t, withClosedAddress)
	_, found, err := client.Get(t.Context(), "a")
	require.NoError(t, err, "a read is retried at the next address")
	assert.False(t, found)
	_, err = client.Create(t.Context(), "a", []byte("1"))
	require.NoError(t, err)
	assert.Len(t, server.State().Items("a", ""), 1)
}

package kvlog_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

var errEnough = errors.New("enough entries")

// start returns a fake service and a log in it.
func start(t *testing.T) (*fakekv.Server, *kvlog.Log) {
	t.Helper()
	server, err := fakekv.Start("127.0.0.1:0")
	require.NoError(t, err)
	settings := kv.DefaultSettings(server.Address())
	settings.Timeout, settings.CallsPerSecond, settings.Backoff = 200*time.Millisecond, 1000, time.Millisecond
	client := kv.New(settings)
	t.Cleanup(func() {
		client.Close()
		require.NoError(t, server.Close())
	})
	return server, kvlog.New(client, "log")
}

func entry(number int64, writer string) kvlog.Entry {
	return kvlog.Entry{Number: number, WriteID: fmt.Sprintf("%s-%d", writer, number), Payload: []byte("line\n" + writer)}
}

// Guards against entries that are lost, written twice or delivered out of order, for each fault of
// the service.
func TestAppendAndFollowUnderFault(t *testing.T) {
	endOutage := func(server *fakekv.Server) {
		time.AfterFunc(30*time.Millisecond, func() {
			server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(false) })
		})
	}
	cases := []struct {
		name   string
		faults fakekv.Faults
		// disturb runs before the appends, and compact before the log is followed.
		disturb, compact func(*fakekv.Server)
	}{
		{"none", fakekv.Faults{}, nil, nil},
		{"lost answer", fakekv.Faults{LoseAnswers: 2}, nil, nil},
		{"delay", fakekv.Faults{Delay: 10 * time.Millisecond}, nil, nil},
		{"outage", fakekv.Faults{Out: true}, endOutage, nil},
		{"duplicate events", fakekv.Faults{DuplicateEvents: true}, nil, nil},
		{"compaction", fakekv.Faults{}, nil, (*fakekv.Server).Compact},
		{"older read", fakekv.Faults{ReadLag: 1}, func(server *fakekv.Server) {
			time.AfterFunc(30*time.Millisecond, func() {
				server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithReadLag(0) })
			})
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, log := start(t)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			require.NoError(t, log.Append(ctx, entry(1, "a")))
			tail, err := log.Read(ctx, 1)
			require.NoError(t, err)
			require.Equal(t, []kvlog.Entry{entry(1, "a")}, tail.Entries)
			server.Inject(func(fakekv.Faults) fakekv.Faults { return c.faults })
			if c.disturb != nil {
				c.disturb(server)
			}
			for number := int64(2); number <= 4; number++ {
				require.NoError(t, log.Append(ctx, entry(number, "a")))
			}
			if c.compact != nil {
				c.compact(server)
			}
			var conflict *kvlog.ConflictError
			require.ErrorAs(t, log.Append(ctx, entry(3, "b")), &conflict)
			assert.Equal(t, entry(3, "a"), conflict.Winner)
			var delivered []kvlog.Entry
			err = log.Follow(ctx, tail, func(entry kvlog.Entry) error {
				delivered = append(delivered, entry)
				if entry.Number == 4 {
					return errEnough
				}
				return nil
			})
			require.ErrorIs(t, err, errEnough)
			assert.Equal(t, []kvlog.Entry{entry(2, "a"), entry(3, "a"), entry(4, "a")}, delivered)
		})
	}
}

// Guards against a writer that was suspended during a truncation and appends an entry under a deleted number.
func TestWriteBelowTheFloorIsVoid(t *testing.T) {
	_, log := start(t)
	for number := int64(1); number <= 3; number++ {
		require.NoError(t, log.Append(t.Context(), entry(number, "a")))
	}
	require.NoError(t, log.Truncate(t.Context(), 2))
	require.ErrorIs(t, log.Append(t.Context(), entry(2, "b")), kvlog.ErrNumberTruncated)
	var truncated *kvlog.TruncatedError
	_, err := log.Read(t.Context(), 1)
	require.ErrorAs(t, err, &truncated)
	tail, err := log.Read(t.Context(), truncated.Floor+1)
	require.NoError(t, err)
	assert.Equal(t, []kvlog.Entry{entry(3, "a")}, tail.Entries)
}

// Guards against reporting an entry as not written that is written: whether it is void cannot be told from a floor that is
// not a number.
func TestWriteAboveAMalformedFloorIsUncertain(t *testing.T) {
	server, log := start(t)
	require.NoError(t, log.Append(t.Context(), entry(1, "a")))
	require.NoError(t, log.Truncate(t.Context(), 1))
	client := kv.New(kv.DefaultSettings(server.Address()))
	defer client.Close()
	floor := server.State().Items("log/floor", "")
	require.Len(t, floor, 1)
	_, err := client.Put(t.Context(), floor[0].Key, []byte("many"), floor[0].ModRevision)
	require.NoError(t, err)
	var uncertain *kvlog.UncertainError
	require.ErrorAs(t, log.Append(t.Context(), entry(2, "a")), &uncertain)
	assert.ErrorContains(t, uncertain, "log/floor")
}

// Guards against reporting a write as failed that may still take effect.
func TestWriteWithoutAnyAnswerIsUncertain(t *testing.T) {
	server, log := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(true) })
	var uncertain *kvlog.UncertainError
	require.ErrorAs(t, log.Append(ctx, entry(1, "a")), &uncertain)
}

package node_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	"github.com/rosemaryspar/rosemaryspar/internal/process/node"
	wireshare "github.com/rosemaryspar/rosemaryspar/internal/wire/share"
	"github.com/rosemaryspar/rosemaryspar/platform"
)

// noLog is the [node.LogBuffer] of an entry that logs nothing.
type noLog struct{}

func (noLog) Dropped() int64 { return 0 }

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// windowLength is the length of a usage window of the entry under test.
const windowLength = 5 * time.Second

// startNode starts an entry without a store and returns its settings.
func startNode(t *testing.T) node.Settings {
	t.Helper()
	settings := node.Settings{
		Name: "a", FrontAddress: "127.0.0.1:0", PeerAddress: freeAddress(t), ReadyAddress: freeAddress(t), StoreAddress: freeAddress(t),
		StopTime: time.Second, RevokeTime: time.Second, LeaseTime: time.Second, UsageWindow: windowLength, UsageDue: 2 * windowLength,
	}
	store := platform.NewStore(settings.StoreAddress)
	entry, err := node.New(settings, node.Platform{
		Codec: platform.HeaderCodec{}, Directory: platform.NewDirectory(store), StoreCodec: platform.Codec{}, Store: store,
		Cloud: platform.NewCloud(settings.StoreAddress, settings.Name), Events: platform.EventGrammar, ReadyPath: platform.ReadyPath,
	}, zerolog.Nop(), noLog{})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- entry.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NoError(t, <-ended)
	})
	return settings
}

// Guards against an entry that takes in the usage of peers unfiltered, or by another window length than it counts by, and whose
// operator has no sign of a report that was dropped.
func TestDroppedReportsOfUsageAreCounted(t *testing.T) {
	settings, ctx := startNode(t), t.Context()
	now := time.Now()
	report := func(window, count int64, asOf time.Time) cluster.Usage {
		return cluster.Usage{ID: "b#1", Counts: usage.Counts{}.WithWindow(window, map[string]int64{"desk": count}), AsOf: asOf}
	}
	current := usage.WindowAt(now, windowLength)
	// The bounds are those of usage.Bounds: 100,000 calls a second, so 500,000 in a window of 5 s; no window more than four ahead.
	_, err := wireshare.NewClient().Exchange(ctx, settings.PeerAddress, share.StateMessage{
		Sender: cluster.EntryState{Member: cluster.Member{Name: "b", Address: "127.0.0.1:1", Incarnation: 1}, Clock: now},
		Usage: []cluster.Usage{
			report(current, 500_000, now), report(current, 500_001, now), report(-1, 1, now),
			report(current+12, 1, now), report(current, 1, now.Add(time.Hour)),
		},
	})
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+settings.ReadyAddress+"/metrics", nil)
	require.NoError(t, err)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	for _, line := range []string{`{defect="Count"} 1`, `{defect="Future"} 2`, `{defect="Window"} 1`} {
		assert.Contains(t, string(text), "rosemaryspar_usage_reports_dropped_total"+line+"\n")
	}
}

// Guards against a next leader that does not hear of the windows that were reported, which pass from peer to peer, and against a
// window of the future that displaces them.
func TestReportedWindowsPassFromPeerToPeer(t *testing.T) {
	settings, current := startNode(t), usage.WindowAt(time.Now(), windowLength)
	exchange := func(name string, reported usage.Reported) usage.Reported {
		reply, err := wireshare.NewClient().Exchange(t.Context(), settings.PeerAddress, share.StateMessage{
			Sender: cluster.EntryState{Member: cluster.Member{Name: name, Address: "127.0.0.1:1", Incarnation: 1}, Clock: time.Now(), Reported: reported},
		})
		require.NoError(t, err)
		return reply.Replier.Reported
	}
	counts := map[string]int64{"desk": 3}
	exchange("b", usage.Reported{}.WithReport(current-1, counts).WithReport(current+9, counts))
	require.Eventually(t, func() bool { return exchange("c", usage.Reported{}).HasCounts(current-1, counts) }, 10*time.Second, 20*time.Millisecond, "another peer does not hear of the report")
	assert.Len(t, exchange("c", usage.Reported{}).Digests(), 1, "only windows that can have been reported")
}

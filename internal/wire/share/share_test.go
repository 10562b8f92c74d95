package share_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	wireshare "github.com/rosemaryspar/rosemaryspar/internal/wire/share"
)

// echo answers with the contents of the message that it received.
type echo struct{ received share.StateMessage }

func (echo *echo) Answer(message share.StateMessage) share.Reply {
	echo.received = message
	return share.Reply{Replier: message.Sender, Aggregates: message.Aggregates, MemberLists: message.MemberLists, MemberDigest: 4, Routes: message.Routes, Servers: message.Servers}
}

// Guards against fields of a state message or a reply that the encoding between entries drops.
func TestStateMessagesKeepAllFields(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	answerer := &echo{}
	server, err := wireshare.Listen(address, answerer)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	member := cluster.Member{Name: "e1", Address: "10.0.0.1:1", Domain: "q", Incarnation: 7, Stopping: true, IsLeader: true, StoreUnreachable: true, Cores: 0.4}
	state := cluster.EntryState{
		Member: member, Sequence: 9, Clock: time.UnixMicro(1_700_000_000_000_001),
		Admitted: map[string]float64{"desk": 12.5}, Asked: map[string]float64{"desk": 20}, Running: map[uint32]int{5: 3}, Demand: map[string]float64{"engines": 100},
		ShareFigures:   map[uint32]float64{6: 2.5},
		PrefillSamples: prefill.Counts{{Service: "engines", Level: 60}: 4, {Service: "engines", Level: 61}: 2}, LeavingServers: map[string]int64{"s2": 5},
		Reported: usage.Reported{}.WithReport(4, map[string]int64{"desk": 2}).WithReport(5, map[string]int64{"desk": 1}),
		PaceLogs: map[uint32]int{5: -40}, PaceSamples: map[uint32]int{5: 12},
		CrashReports: []suspect.Report{{Fingerprint: suspect.Fingerprint{Account: "desk", Content: 8}, Server: "s1#1", At: time.UnixMicro(1_700_000_000_000_002)}},
		PartReports: []suspect.PartReport{
			{Part: 9, Crash: suspect.PartCrash{Server: "s1#1", Request: 8, At: time.UnixMicro(1_700_000_000_000_003)}},
			{Part: 9, Crash: suspect.PartCrash{At: time.UnixMicro(1_700_000_000_000_004)}},
		},
		Evidence: rollout.Totals{{Order: 4, Route: "r", Side: rollout.SideNew}: {
			Answers: 9, Failed: 1, Compared: 8, Slow: 2, First: rollout.Sample{Count: 7, Logs: 1.5}, Pace: rollout.Sample{Count: 6, Logs: 2.5},
		}, {Order: 4, Route: "r", Side: rollout.SideOld}: {Answers: 3}},
		MovedEntries: map[int64]float64{4: 1}, StoppedRollouts: map[string]int64{"engines": 3},
	}
	message := share.StateMessage{
		Sender: state, IsHeartbeat: true, IsPush: true,
		Aggregates: []cluster.Aggregate{cluster.Aggregate{
			ID: "e1#7", Sequence: 9, Age: time.Second, Admitted: state.Admitted, Asked: state.Asked, Running: state.Running, PrefillSamples: state.PrefillSamples,
			PaceLogs: state.PaceLogs, PaceSamples: state.PaceSamples, Evidence: state.Evidence, MovedEntries: state.MovedEntries, ShareFigures: state.ShareFigures,
		}.WithMembers([]cluster.Member{member})},
		Usage:         []cluster.Usage{{ID: "e1#7", Counts: usage.Counts{}.WithWindow(4, map[string]int64{"desk": 2, "fitters": 1}), AsOf: time.UnixMicro(1_700_000_000_000_003)}},
		MemberLists:   []cluster.MemberList{{Origin: "e3#1", Members: []cluster.Member{member}, Relayed: true}},
		MemberDigests: []cluster.MemberDigest{{ID: "e2#1", Digest: 3}},
		Routes:        share.CachedRead{Revision: 5, Age: 300 * time.Millisecond, Digest: 6, Content: []byte("c")},
		Servers: share.CachedRead{Revision: 6, Age: time.Second, Digest: 7, DeltaBase: 8, Delta: &directory.Delta{
			Changed: []directory.Server{{ID: "s1", Service: "s", Address: "10.0.0.2:1", Domain: "q", Slots: 4, State: directory.StateLeaving, StartedMs: 3, Reclaimable: true, Version: "v2"}},
			Removed: []string{"s2"},
		}},
	}
	reply, err := wireshare.NewClient().Exchange(ctx, address, message)
	require.NoError(t, err)
	assert.Equal(t, message, answerer.received)
	assert.Equal(t, share.Reply{Replier: state, Aggregates: message.Aggregates, MemberLists: message.MemberLists, MemberDigest: 4, Routes: message.Routes, Servers: message.Servers}, reply)
	cancel()
	assert.NoError(t, <-ended)
	_, err = wireshare.NewClient().Exchange(t.Context(), address, message)
	assert.Error(t, err, "the server still answers after its context ended")
}

// Guards against fields of a server that the encoding between entries drops or changes.
func TestServerListsAreDecodedAsEncoded(t *testing.T) {
	servers := []directory.Server{
		{ID: "s1", Service: "e", Address: "10.0.0.1:1", Domain: "q", Slots: 64, State: directory.StateReady, StartedMs: 5, Reclaimable: true, Version: "v1"},
		{ID: "s2", Service: "e", State: directory.StateLeaving},
	}
	content, err := wireshare.EncodeServers(servers)
	require.NoError(t, err)
	decoded, err := wireshare.DecodeServers(content)
	require.NoError(t, err)
	assert.Equal(t, servers, decoded)
	_, err = wireshare.DecodeServers([]byte{0xff})
	assert.Error(t, err)
}

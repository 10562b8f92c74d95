package peer_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

var member = membership.Member{
	Origin:    membership.Origin{Name: "entry-1", Incarnation: membership.Incarnation{Start: 7, Random: 9}},
	Profile:   membership.Profile{Address: "10.0.0.1:7000", Domain: "Quimper", Region: "west"},
	Version:   3,
	Leaving:   true,
	Condition: membership.ConditionSuspect,
}

var deltas = []membership.Delta{
	{ID: 1 << 63, Origin: member.Origin, Items: []membership.Item{{Kind: membership.KindMember, Version: 3, Member: &member}}},
	{ID: 2, After: 4, Complete: 9, Items: []membership.Item{
		{Kind: membership.KindLoad, Version: 5, Payload: []byte{1}, Expires: 60},
		{Kind: membership.KindClaim, Key: "entry-1", Version: 6, Member: &member},
		{Kind: membership.KindDemand, Version: 7, Payload: []byte{2}},
		{Kind: membership.KindSuspectRequest, Key: "f", Version: 8},
		{Kind: membership.KindLeavingServer, Key: "runner-1", Version: 9},
		{Kind: membership.KindRevision, Version: 9},
	}},
}

// entry is a fake of the implementations behind the server; it echoes the contents of an offer.
type entry struct {
	// size is the length of the data of each log entry, in bytes.
	size          int
	handoverStore peer.HandoverStore
}

func (entry entry) Answer(offer membership.Offer) membership.Reply {
	return membership.Reply{Revision: offer.Revision, Deltas: offer.Deltas, Wanted: offer.Digest}
}

func (entry entry) Since(revision int64) []control.LogEntry {
	data := make([]byte, entry.size)
	return []control.LogEntry{{Number: revision + 1, Checkpoint: true, Data: data}, {Number: revision + 2, Data: data}}
}

func (entry entry) Execute(_ context.Context, shard int, order []byte) ([]byte, error) {
	switch shard {
	case 1:
		return nil, peer.ErrNotLeader
	case 2:
		return nil, errors.New("append failed")
	}
	return append([]byte("done "), order...), nil
}

// serve runs a server on loopback and returns its member record and a count of the bytes in both directions.
func serve(t testing.TB, entry entry) (membership.Member, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	counted := &countingListener{Listener: listener}
	done := make(chan error, 1)
	go func() {
		done <- peer.NewServer(entry, entry, entry).WithHandoverStore(entry.handoverStore).Run(ctx, counted)
	}()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return membership.Member{Profile: membership.Profile{Address: listener.Addr().String()}}, &counted.bytes
}

// Guards against fields that the encoding between entries drops.
func TestExchangeCarriesEveryField(t *testing.T) {
	target, _ := serve(t, entry{})
	client := peer.NewClient()
	defer client.Close()
	offer := membership.Offer{Revision: 5, Full: true, Digest: []membership.OriginVersion{{ID: 1 << 63, Version: 1 << 40}, {ID: 2}}, Deltas: deltas}
	reply, err := client.Exchange(t.Context(), target, offer)
	require.NoError(t, err)
	assert.Equal(t, membership.Reply{Revision: 5, Deltas: deltas, Wanted: offer.Digest}, reply)
	decoded, err := peer.DecodeOffer(peer.EncodeOffer(offer))
	require.NoError(t, err)
	assert.Equal(t, offer, decoded)
}

// Guards against a response whose size grows with the log, and against a log entry above the
// bound of a response that is never sent.
func TestConfigSinceIsBounded(t *testing.T) {
	for size, want := range map[int]int{10: 2, 600_000: 1, 2_000_000: 1} {
		target, _ := serve(t, entry{size: size})
		client := peer.NewClient()
		entries, err := client.Since(t.Context(), target, 4)
		client.Close()
		require.NoError(t, err)
		require.Len(t, entries, want)
		assert.Equal(t, int64(5), entries[0].Number)
		assert.True(t, entries[0].Checkpoint)
		assert.Len(t, entries[0].Data, size)
	}
}

// Guards against an order that is reported as not run although it may have taken effect, and
// against one that is reported as possibly run although the peer did not act on it.
func TestForwardTellsWhetherThePeerMayHaveActed(t *testing.T) {
	target, _ := serve(t, entry{})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := membership.Member{Profile: membership.Profile{Address: closed.Addr().String()}}
	require.NoError(t, closed.Close())
	cases := []struct {
		name   string
		target membership.Member
		shard  int
		order  []byte
		want   error
		fails  bool
	}{
		{"answered", target, 0, []byte("o"), nil, false},
		{"not the leader", target, 1, nil, peer.ErrNotLeader, true},
		{"failed at the leader", target, 2, nil, nil, true},
		{"nobody listens", unreachable, 0, nil, peer.ErrUnreachable, true},
		{"too large", target, 0, make([]byte, 5<<20), nil, true},
	}
	client := peer.NewClient()
	defer client.Close()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer, err := client.Forward(t.Context(), c.target, c.shard, c.order)
			if !c.fails {
				require.NoError(t, err)
				assert.Equal(t, "done o", string(answer))
				return
			}
			require.Error(t, err)
			assert.Equal(t, peer.StepForward, fault.Step(err))
			assert.Equal(t, c.target.Address, fault.Peer(err))
			for _, guarantee := range []error{peer.ErrNotLeader, peer.ErrUnreachable} {
				assert.Equal(t, errors.Is(c.want, guarantee), errors.Is(err, guarantee), "%v", err)
			}
		})
	}
}

// Guards against a digest whose arrays differ in length, which would panic while it is decoded.
func TestMalformedDigestIsRefused(t *testing.T) {
	_, err := peer.DecodeOffer(&peer.ExchangeRequest{Digest: &peer.Digest{Ids: []uint64{1, 2}, Versions: []uint64{1}}})
	assert.Error(t, err)
}

// BenchmarkOverhead reports the bytes that HTTP/2 adds to a call in both
// directions, on a new connection and on an open one, and the processor time that
// client and server use together.
func BenchmarkOverhead(b *testing.B) {
	for _, newConnection := range []bool{true, false} {
		b.Run(map[bool]string{true: "new", false: "open"}[newConnection], func(b *testing.B) {
			target, bytes := serve(b, entry{})
			client := peer.NewClient()
			defer client.Close()
			offer := membership.Offer{Revision: 5, Full: true, Deltas: deltas}
			payload := proto.Size(peer.EncodeOffer(offer)) + proto.Size(peer.EncodeReply(entry{}.Answer(offer)))
			start := processorTime()
			for b.Loop() {
				_, err := client.Exchange(b.Context(), target, offer)
				require.NoError(b, err)
				if newConnection {
					client.Close()
				}
			}
			b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(b.N), "cpu-us/call")
			b.ReportMetric(float64(bytes.Load())/float64(b.N)-float64(payload), "overhead-B/call")
		})
	}
}

// countingListener counts the bytes of accepted connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (listener *countingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return &countingConn{conn, &listener.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (conn *countingConn) Read(data []byte) (int, error) {
	n, err := conn.Conn.Read(data)
	conn.bytes.Add(int64(n))
	return n, err
}

func (conn *countingConn) Write(data []byte) (int, error) {
	n, err := conn.Conn.Write(data)
	conn.bytes.Add(int64(n))
	return n, err
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

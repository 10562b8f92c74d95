package share_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
	wireshare "github.com/rosemaryspar/rosemaryspar/internal/wire/share"
	"github.com/rosemaryspar/rosemaryspar/platform"
)

// stray is a peer that sends any message.
type stray struct {
	wireshare.ShareServiceClient
	address string
}

// listen starts a server whose messages answerer answers, and returns a stray peer of it.
func listen(t testing.TB, answerer wireshare.Answerer) stray {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	server, err := wireshare.Listen(address, answerer)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	client := httpclient.NewHTTP2(time.Second, time.Second, nil)
	return stray{wireshare.NewShareServiceClient(client, "http://"+address), address}
}

// soundRequest returns a message that an entry could have sent.
func soundRequest() *wireshare.ShareRequest {
	member := func(name string) *wireshare.Member {
		return &wireshare.Member{Name: name, Address: "10.0.0.1:7000", Domain: "quimper", Incarnation: 7, Power: 0.4}
	}
	work := func() *wireshare.Work {
		return &wireshare.Work{
			Accounts: []string{"desk"}, Admitted: []float64{12}, Asked: []float64{20},
			Servers: []uint32{5}, Running: []uint32{3}, Services: []string{"engines"}, Demand: []float64{100},
			ShareKeys: []uint32{6}, ShareFigures: []float64{2.5},
			PrefillSamples: []*wireshare.PrefillSamples{{Service: "engines", Levels: []uint32{60}, Counts: []uint32{2}}},
			ServerPaces:    &wireshare.ServerPaces{Servers: []uint32{5}, Logs: []int32{-40}, Samples: []uint32{10}},
			RolloutCounts:  []*wireshare.RolloutCounts{{Order: 4, Route: "r", Answers: 3}}, RolloutMoved: []*wireshare.RolloutMoved{{Order: 4, Entries: 1}},
		}
	}
	return &wireshare.ShareRequest{
		Sender:  &wireshare.Neighbour{Member: member("e1"), Sequence: 1, Work: work()},
		Groups:  []*wireshare.Group{{Id: "e1#7", Sequence: 1, Members: []*wireshare.Member{member("e2")}, Work: work()}},
		Usage:   []*wireshare.Usage{{Id: "e1#7", Windows: []*wireshare.UsageWindow{{Window: 1, Accounts: []string{"desk"}, Counts: []int64{1}}}}},
		Rolls:   []*wireshare.Roll{{By: "e3#1", Members: []*wireshare.Member{member("e3")}}},
		Routes:  &wireshare.Holding{Revision: 1, AgeUs: 5, Digest: 1, Content: []byte("{}")},
		Servers: &wireshare.Holding{Revision: 1, AgeUs: 5, Digest: 1},
	}
}

// Guards against what a stray or faulty peer can do to the state of an entry: amounts that make a sum infinite, a copy of
// the configuration that counts as current in the future, and lists that fill the memory. Such a message changes nothing.
func TestMalformedMessagesOfPeersAreRejected(t *testing.T) {
	cases := []struct {
		name   string
		change func(request *wireshare.ShareRequest)
		want   string
	}{
		{"sender without a name", func(r *wireshare.ShareRequest) { r.Sender.Member.Name = "" }, "sender: the name"},
		{"no sender", func(r *wireshare.ShareRequest) { r.Sender = nil }, "sender: the name"},
		{"long name", func(r *wireshare.ShareRequest) { r.Rolls[0].Members[0].Name = strings.Repeat("x", 257) }, "member list 0: member 0: the name"},
		{"address", func(r *wireshare.ShareRequest) { r.Groups[0].Members[0].Address = "host:x" }, "aggregate 0: member 0: the address"},
		{"cores", func(r *wireshare.ShareRequest) { r.Sender.Member.Power = math.NaN() }, "sender: NaN cores"},
		{"total that is no number", func(r *wireshare.ShareRequest) { r.Sender.Work.Admitted[0] = math.NaN() }, "sender: an amount is NaN"},
		{"infinite total", func(r *wireshare.ShareRequest) { r.Groups[0].Work.Asked[0] = math.Inf(1) }, "aggregate 0: an amount is +Inf"},
		{"demand beyond its bound", func(r *wireshare.ShareRequest) { r.Groups[0].Work.Demand[0] = 1e30 }, "aggregate 0: an amount is 1e+30"},
		{"figure of sharing", func(r *wireshare.ShareRequest) { r.Sender.Work.ShareFigures[0] = math.Inf(1) }, "sender: an amount is +Inf"},
		{"figures of sharing", func(r *wireshare.ShareRequest) { r.Sender.Work.ShareKeys = make([]uint32, 65537) }, "sender: 65537 figures of sharing"},
		{"calls", func(r *wireshare.ShareRequest) { r.Sender.Work.Running[0] = math.MaxUint32 }, "sender: 4294967295 calls"},
		{"range of rates", func(r *wireshare.ShareRequest) { r.Sender.Work.PrefillSamples[0].Levels[0] = 128 }, "sender: samples of service engines in range 128"},
		{"samples", func(r *wireshare.ShareRequest) { r.Groups[0].Work.PrefillSamples[0].Counts[0] = 1 << 25 }, "aggregate 0: 33554432 samples"},
		{"pace", func(r *wireshare.ShareRequest) { r.Groups[0].Work.ServerPaces.Logs[0] = math.MinInt32 }, "aggregate 0: a pace has the sum -2147483648"},
		{"weight of a pace", func(r *wireshare.ShareRequest) { r.Sender.Work.ServerPaces.Samples[0] = 21 }, "sender: a pace with the weight 21"},
		{"paces without weights", func(r *wireshare.ShareRequest) { r.Sender.Work.ServerPaces.Samples = nil }, "sender: paces of 1 servers with 1 sums and 0 weights"},
		{"paces of too many servers", func(r *wireshare.ShareRequest) { r.Sender.Work.ServerPaces.Servers = make([]uint32, 257) }, "sender: paces of 257 servers"},
		{"count of a roll-out", func(r *wireshare.ShareRequest) { r.Sender.Work.RolloutCounts[0].FirstLogs = math.NaN() }, "sender: a count of a roll-out is NaN"},
		{"counts of roll-outs", func(r *wireshare.ShareRequest) {
			r.Groups[0].Work.RolloutCounts = make([]*wireshare.RolloutCounts, 8193)
		}, "aggregate 0: 8193 counts of roll-outs"},
		{"moved entries", func(r *wireshare.ShareRequest) { r.Groups[0].Work.RolloutMoved[0].Entries = math.Inf(1) }, "aggregate 0: +Inf entries have moved"},
		{"configuration from the future", func(r *wireshare.ShareRequest) { r.Routes.AgeUs = -1 }, "configuration: the age is -1"},
		{"list of servers from the future", func(r *wireshare.ShareRequest) { r.Servers.AgeUs = math.MinInt64 }, "list of servers: the age"},
		{"age that overflows", func(r *wireshare.ShareRequest) { r.Groups[0].AgeUs = math.MaxInt64 }, "aggregate 0: the age"},
		{"count of usage", func(r *wireshare.ShareRequest) { r.Usage[0].Windows[0].Counts[0] = -1 }, "usage 0: a count is -1"},
		{"accounts of usage without counts", func(r *wireshare.ShareRequest) { r.Usage[0].Windows[0].Accounts = []string{"desk", "fitters"} }, "usage 0: 2 client accounts with 1 counts"},
		{"counts of usage without accounts", func(r *wireshare.ShareRequest) { r.Usage[0].Windows[0].Accounts = nil }, "usage 0: 0 client accounts with 1 counts"},
		{"negative revision", func(r *wireshare.ShareRequest) { r.Routes.Revision = -1 }, "copy of the store at revision -1"},
		{"era that no store has", func(r *wireshare.ShareRequest) { r.Servers.Revision = math.MaxInt64 }, "copy of the store at revision 9223372036854775807"},
		{"reported windows", func(r *wireshare.ShareRequest) {
			r.Sender.ReportedWindows = make([]*wireshare.ReportedWindow, 9)
		}, "sender: 9 reported usage windows"},
		{"member lists", func(r *wireshare.ShareRequest) { r.Rolls = make([]*wireshare.Roll, 1025) }, "1025 member lists"},
		{"aggregates", func(r *wireshare.ShareRequest) { r.Groups = make([]*wireshare.Group, 1025) }, "1025 aggregates"},
	}
	answerer := &echo{}
	peer := listen(t, answerer)
	sound := soundRequest()
	_, err := peer.Share(t.Context(), connect.NewRequest(sound))
	require.NoError(t, err)
	received := answerer.received
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := soundRequest()
			c.change(request)
			_, err := peer.Share(t.Context(), connect.NewRequest(request))
			require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err), "%v", err)
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, received, answerer.received, "the message changes nothing")
		})
	}
}

// strayAnswerer answers every message with the state of a faulty peer.
type strayAnswerer struct{ reply share.Reply }

func (strayAnswerer strayAnswerer) Answer(share.StateMessage) share.Reply { return strayAnswerer.reply }

// Guards against a faulty peer's reply that takes effect although its message would not.
func TestMalformedRepliesOfPeersAreRejected(t *testing.T) {
	member := cluster.Member{Name: "e1", Address: "10.0.0.1:7000"}
	for name, reply := range map[string]share.Reply{
		"future":    {Replier: cluster.EntryState{Member: member}, Routes: share.CachedRead{Revision: 1, Age: -time.Second}},
		"no number": {Replier: cluster.EntryState{Member: member}, Aggregates: []cluster.Aggregate{{ID: "e1#0", Demand: map[string]float64{"s": math.NaN()}}}},
	} {
		peer := listen(t, strayAnswerer{reply})
		_, err := wireshare.NewClient().Exchange(t.Context(), peer.address, share.StateMessage{Sender: cluster.EntryState{Member: member}})
		assert.Error(t, err, name)
	}
}

// idle is the [share.LocalEntry] of an entry without calls.
type idle struct{}

func (idle) FillState(entry cluster.EntryState) cluster.EntryState { return entry }
func (idle) Usage() usage.Counts                                   { return usage.Counts{} }
func (idle) HandlePeerState(cluster.EntryState)                    {}
func (idle) HandleClusterUpdate()                                  {}
func (idle) HandleExchange(share.ExchangeRecord)                   {}
func (idle) Seeds() []string                                       { return nil }

// stopped is a clock that does not advance.
type stopped struct{}

func (stopped) Now() time.Duration { return time.Minute }

// newest answers messages with the state that an entry has after them, which is replaced between messages.
type newest struct{ syncer *rcu.Cell[*share.Syncer] }

func (newest newest) Answer(message share.StateMessage) share.Reply {
	return newest.syncer.Load().Answer(message)
}

// FuzzPeerMessage guards against messages of a peer that end the call with anything but an answer or an error about the
// message, such as a panic, or that leave sums, ages or usage that are not valid.
func FuzzPeerMessage(f *testing.F) {
	sound, err := proto.Marshal(soundRequest())
	require.NoError(f, err)
	f.Add(sound)
	for _, report := range []*wireshare.Usage{
		withWindow(usageReport(currentWindow+4, 500_000), 0), // the most that is taken in
		usageReport(currentWindow+5, 1),
		usageReport(currentWindow, 500_001),
	} {
		request := soundRequest()
		request.Usage = []*wireshare.Usage{report}
		seed, err := proto.Marshal(request)
		require.NoError(f, err)
		f.Add(seed)
	}
	f.Add([]byte{})
	f.Add(sound[:len(sound)/2])
	answerer := newest{rcu.New[*share.Syncer](nil)}
	peer := listen(f, wireshare.NewUsageFilter(answerer, wallClock{}, usageWindow, &dropped{}))
	f.Fuzz(func(t *testing.T, message []byte) {
		request := &wireshare.ShareRequest{}
		if proto.Unmarshal(message, request) != nil {
			return
		}
		shared := share.NewSharedState(stopped{}, platform.Codec{}, cluster.EntryState{Member: cluster.Member{Name: "a", Address: "10.0.0.9:1"}})
		answerer.syncer.Store(share.NewSyncer(shared, wireshare.NewClient(), idle{}, idle{}))
		_, err := peer.Share(t.Context(), connect.NewRequest(request))
		if err != nil && connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Fatalf("the call ended with %v", err)
		}
		now := stopped{}.Now()
		for _, aggregate := range shared.Cluster().AggregatesFor("b", now) {
			for account, total := range aggregate.Admitted {
				if total < 0 || math.IsNaN(total) || math.IsInf(total, 0) {
					t.Fatalf("the total of %q is %v", account, total)
				}
			}
		}
		if age := shared.RoutesAge(); age < 0 {
			t.Fatalf("the age of the configuration is %v", age)
		}
		for _, report := range shared.Cluster().Usage() {
			if report.AsOf.After(wallClock{}.WallTime()) || len(report.Counts.Windows()) > 8 {
				t.Fatalf("the usage %v is taken in", report)
			}
			for window, counts := range report.Counts.Windows() {
				for account, count := range counts {
					if window < 0 || window > currentWindow+4 || count < 0 || count > 500_000 {
						t.Fatalf("window %d of the usage has %d calls of %q", window, count, account)
					}
				}
			}
		}
		shared.Cluster().Fleet(now)
	})
}

// Guards against reports from the future of a peer whose clock is wrong: a request would be refused, or all crashes with it be cleared,
// until their time has come. The rest of the message counts, since the peer is sound otherwise.
func TestCrashReportsFromTheFutureAreDropped(t *testing.T) {
	answerer := &echo{}
	peer := listen(t, answerer)
	sound, ahead := time.Now().UnixMicro(), time.Now().Add(2*time.Minute).UnixMicro()
	request := soundRequest()
	request.Sender.Suspects = []*wireshare.Suspect{
		{Account: "desk", Content: 1, Server: "s1", AtUs: sound},
		{Account: "desk", Content: 2, Server: "s1", AtUs: ahead},
		{Account: "desk", Content: 3, AtUs: math.MaxInt64},
	}
	request.Sender.PartSuspects = []*wireshare.PartSuspect{{Part: 4, Server: "s1", AtUs: sound}, {Part: 5, AtUs: ahead}, {Part: 6, Server: "s1", AtUs: math.MaxInt64}}
	_, err := peer.Share(t.Context(), connect.NewRequest(request))
	require.NoError(t, err)
	sender := answerer.received.Sender
	require.Len(t, sender.CrashReports, 1)
	assert.EqualValues(t, 1, sender.CrashReports[0].Fingerprint.Content)
	require.Len(t, sender.PartReports, 1)
	assert.EqualValues(t, 4, sender.PartReports[0].Part)
	assert.Equal(t, map[string]float64{"desk": 12}, sender.Admitted)
}

// Guards against a peer's list of servers with entries that the reader of the store leaves out, since they lead calls to no address, to
// one that any process may have, or all to one server. The entry keeps the list that it has.
func TestServersOfPeersAreCheckedLikeRegistrations(t *testing.T) {
	sound := directory.Server{ID: "s2", Service: "e", Address: "10.0.0.2:1", Domain: "q", Slots: 4, State: directory.StateReady, StartedMs: 3}
	other := directory.Server{ID: "s1", Service: "e", Address: "10.0.0.1:1", Domain: "q", Slots: 4, State: directory.StateReady, StartedMs: 3}
	// As a difference that also removes the server, these two are sound.
	const idOfAnother, outOfOrder = "id of another server", "ids out of order"
	cases := []struct {
		name   string
		change func(server *directory.Server)
	}{
		{"no id", func(server *directory.Server) { server.ID = "" }},
		{idOfAnother, func(server *directory.Server) { server.ID = "s1" }},
		{outOfOrder, func(server *directory.Server) { server.ID = "s0" }},
		{"no service", func(server *directory.Server) { server.Service = "" }},
		{"no address", func(server *directory.Server) { server.Address = "" }},
		{"name for an address", func(server *directory.Server) { server.Address = "localhost:1" }},
		{"port 0", func(server *directory.Server) { server.Address = "10.0.0.2:0" }},
		{"unspecified address", func(server *directory.Server) { server.Address = "0.0.0.0:1" }},
		{"no slots", func(server *directory.Server) { server.Slots = 0 }},
		{"negative slots", func(server *directory.Server) { server.Slots = -1 }},
		{"slots beyond any server", func(server *directory.Server) { server.Slots = math.MaxInt32 }},
		{"negative start", func(server *directory.Server) { server.StartedMs = -1 }},
		{"start beyond any time", func(server *directory.Server) { server.StartedMs = math.MaxInt64 }},
	}
	for _, c := range cases {
		for _, asDelta := range []bool{false, true} {
			if asDelta && (c.name == idOfAnother || c.name == outOfOrder) {
				continue
			}
			t.Run(fmt.Sprintf("%s, as a difference: %t", c.name, asDelta), func(t *testing.T) {
				shared := share.NewSharedState(stopped{}, platform.Codec{}, cluster.EntryState{Member: cluster.Member{Name: "a", Address: "10.0.0.9:1"}})
				peer := listen(t, newest{rcu.New(share.NewSyncer(shared, wireshare.NewClient(), idle{}, idle{}))})
				first := encodedServers(t, []directory.Server{other, sound})
				require.NoError(t, shared.MergeServers(1, 0, first))
				faulty := sound
				c.change(&faulty)
				content := encodedServers(t, []directory.Server{other, faulty})
				request := soundRequest()
				request.Servers = &wireshare.Holding{Revision: 2, AgeUs: 5, Digest: xxhash.Sum64(content), Content: content}
				if asDelta {
					listed := &wireshare.ListedServer{Id: faulty.ID, Service: faulty.Service, Address: faulty.Address, Domain: "q", Slots: int32(faulty.Slots), Born: faulty.StartedMs}
					delta := directory.Delta{Changed: []directory.Server{faulty}, Removed: []string{"s2"}}
					applied := encodedServers(t, delta.Applied([]directory.Server{other, sound}))
					request.Servers = &wireshare.Holding{Revision: 2, AgeUs: 5, Digest: xxhash.Sum64(applied), Delta: &wireshare.ServerListDelta{
						Base: xxhash.Sum64(first), Changed: []*wireshare.ListedServer{listed}, Removed: delta.Removed,
					}}
				}
				_, _ = peer.Share(t.Context(), connect.NewRequest(request))
				assert.Equal(t, map[string]directory.Server{"s1": other, "s2": sound}, shared.Servers().All())
			})
		}
	}
}

func encodedServers(t *testing.T, servers []directory.Server) []byte {
	t.Helper()
	content, err := wireshare.EncodeServers(servers)
	require.NoError(t, err)
	return content
}

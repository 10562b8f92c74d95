package share_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	wireshare "github.com/rosemaryspar/rosemaryspar/internal/wire/share"
)

// relaying answers each statement with the same groups.
type relaying struct{ groups []cluster.Aggregate }

func (relaying relaying) Answer(share.StateMessage) share.Reply {
	return share.Reply{Aggregates: relaying.groups}
}

// work returns what an entry or a group states with calls at that many servers.
func work(accounts, servers int) (admitted map[string]float64, running map[uint32]int) {
	admitted, running = map[string]float64{}, map[uint32]int{}
	for i := range accounts {
		admitted[fmt.Sprint("account-", i)] = 1e6 + float64(i)
	}
	for i := range servers {
		running[cluster.ServerKey(fmt.Sprint("i-", i))] = 1 + i%9
	}
	return admitted, running
}

// BenchmarkExchange is one exchange of a reporting entry with its relay over loopback, both sides in one process.
func BenchmarkExchange(b *testing.B) {
	cases := []struct {
		name            string
		accounts, own   int
		groups, servers int
	}{
		{"entries_9", 16, 8, 1, 21}, {"entries_90", 16, 8, 4, 90}, {"entries_420", 16, 55, 18, 2000},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			address := listener.Addr().String()
			require.NoError(b, listener.Close())
			groups := make([]cluster.Aggregate, c.groups)
			for i := range groups {
				// The first group has the calls of all.
				servers := 0
				if i == 0 {
					servers = c.servers
				}
				groups[i] = cluster.Aggregate{ID: fmt.Sprintf("entry-%d#abcdefghij", i)}
				groups[i].Admitted, groups[i].Running = work(c.accounts, servers)
			}
			server, err := wireshare.Listen(address, relaying{groups})
			require.NoError(b, err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = server.Serve(ctx) }()
			statement := share.StateMessage{IsHeartbeat: true, Sender: cluster.EntryState{Member: cluster.Member{Name: "entry", Address: address}}}
			statement.Sender.Admitted, statement.Sender.Running = work(c.accounts, c.own)
			counts := usage.Counts{}
			for i := range c.accounts {
				counts = counts.WithRequest(7, fmt.Sprint("account-", i))
			}
			statement.Usage = []cluster.Usage{{ID: "entry#abcdefghij", Counts: counts}}
			client := wireshare.NewClient()
			require.Eventually(b, func() bool {
				_, err := client.Exchange(ctx, address, statement)
				return err == nil
			}, time.Second, time.Millisecond)
			before := written(b)
			for b.Loop() {
				_, err := client.Exchange(ctx, address, statement)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(written(b)-before)/float64(b.N), "B/exchange")
		})
	}
}

// written returns the bytes that the process has written, both directions of its exchanges together.
func written(b *testing.B) int64 {
	content, err := os.ReadFile("/proc/self/io")
	require.NoError(b, err)
	var read, wrote int64
	_, err = fmt.Sscanf(string(content), "rchar: %d\nwchar: %d", &read, &wrote)
	require.NoError(b, err)
	return wrote
}

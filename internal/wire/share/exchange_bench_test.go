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

// aggregator answers each state message with the same aggregates.
type aggregator struct{ aggregates []cluster.Aggregate }

func (aggregator aggregator) Answer(share.StateMessage) share.Reply {
	return share.Reply{Aggregates: aggregator.aggregates}
}

// work returns the admitted totals and the calls in progress of an entry or an aggregate, for that
// many accounts and servers.
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

// BenchmarkExchange measures one heartbeat of an entry and the reply of its aggregator over
// loopback, with both sides in one process.
func BenchmarkExchange(b *testing.B) {
	cases := []struct {
		name string
		// heartbeatServers is the number of servers at which the entry has calls in progress,
		// replyServers that of all aggregates of the reply.
		accounts, heartbeatServers int
		aggregates, replyServers   int
	}{
		{"entries_9", 16, 8, 1, 21}, {"entries_90", 16, 8, 4, 90}, {"entries_420", 16, 55, 18, 2000},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			address := listener.Addr().String()
			require.NoError(b, listener.Close())
			aggregates := make([]cluster.Aggregate, c.aggregates)
			for i := range aggregates {
				aggregates[i] = cluster.Aggregate{ID: fmt.Sprintf("entry-%d#abcdefghij", i)}
				// The first aggregate holds the sums of all; the others have members only, which the receiver has.
				if i == 0 {
					aggregates[i].Admitted, aggregates[i].Running = work(c.accounts, c.replyServers)
					aggregates[i].Asked = aggregates[i].Admitted
				}
			}
			server, err := wireshare.Listen(address, aggregator{aggregates})
			require.NoError(b, err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = server.Serve(ctx) }()
			message := share.StateMessage{IsHeartbeat: true, Sender: cluster.EntryState{Member: cluster.Member{Name: "entry", Address: address}}}
			message.Sender.Admitted, message.Sender.Running = work(c.accounts, c.heartbeatServers)
			message.Sender.Asked = message.Sender.Admitted
			counts := usage.Counts{}
			for i := range c.accounts {
				counts = counts.WithRequest(7, fmt.Sprint("account-", i))
			}
			message.Usage = []cluster.Usage{{ID: "entry#abcdefghij", Counts: counts}}
			client := wireshare.NewClient()
			require.Eventually(b, func() bool {
				_, err := client.Exchange(ctx, address, message)
				return err == nil
			}, time.Second, time.Millisecond)
			before := bytesWritten(b)
			for b.Loop() {
				_, err := client.Exchange(ctx, address, message)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(bytesWritten(b)-before)/float64(b.N), "B/exchange")
		})
	}
}

// bytesWritten returns the number of bytes that the process has written, which includes both directions of its
// exchanges.
func bytesWritten(b *testing.B) int64 {
	content, err := os.ReadFile("/proc/self/io")
	require.NoError(b, err)
	var read, wrote int64
	_, err = fmt.Sscanf(string(content), "rchar: %d\nwchar: %d", &read, &wrote)
	require.NoError(b, err)
	return wrote
}

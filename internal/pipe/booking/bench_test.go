package booking_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

// benchTime is how long orders arrive in each case, in real (not virtual) time.
const benchTime = 4 * time.Second

// BenchmarkGroupCommit measures the writes to the store per order at several arrival rates.
//
// The store answers in 2 ms and the service within 100 ms. Arrivals are a Poisson
// process with a fixed seed. Run it with -benchtime=1x.
func BenchmarkGroupCommit(b *testing.B) {
	for _, entries := range []int{1, 8} {
		for _, shards := range []int{1, 4} {
			for _, rate := range []int{1, 10, 100} {
				b.Run(fmt.Sprintf("appenders=%d/shards=%d/rate=%d", entries, shards, rate), func(b *testing.B) {
					for b.Loop() {
						runOrders(b, entries, shards, rate)
					}
				})
			}
		}
	}
}

// runOrders sends orders at a mean rate per second and reports the writes and the latency per order.
func runOrders(b *testing.B, entries, shards, rate int) {
	ctx, cancel := context.WithCancel(b.Context())
	store, target := fakekv.NewMemory(), newService()
	var links []*fakekv.Link
	var ledgers []*booking.Ledger
	var running, orders sync.WaitGroup
	for index := range entries {
		link := store.Connect(2 * time.Millisecond)
		settings := booking.DefaultSettings(fmt.Sprintf("entry%d", index))
		settings.Shards = shards
		ledger := booking.New(settings, nil, func(shard int) booking.Log { return kvlog.New(link, fmt.Sprint(shard)) })
		links, ledgers = append(links, link), append(ledgers, ledger)
		running.Go(func() { _ = ledger.Run(ctx) })
	}
	random := rand.New(rand.NewPCG(1, 1))
	count := rate * int(benchTime/time.Second)
	waits := make(chan time.Duration, count)
	startedAt := time.Now()
	for number := range count {
		sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)))
		orders.Go(func() {
			key := fmt.Sprint(number)
			sender := &sender{service: target, key: key, random: rand.New(rand.NewPCG(1, uint64(number))), crashed: new(atomic.Bool)}
			arrived := time.Now()
			if _, err := ledgers[number%entries].Execute(ctx, order(key, "b", time.Minute), sender); err != nil {
				b.Error(err)
			}
			waits <- time.Since(arrived)
		})
	}
	orders.Wait()
	seconds := time.Since(startedAt).Seconds()
	cancel()
	running.Wait()
	close(waits)
	var writes int64
	for _, link := range links {
		writes += link.Writes()
	}
	var total time.Duration
	for wait := range waits {
		total += wait
	}
	b.ReportMetric(float64(writes)/float64(count), "writes/order")
	b.ReportMetric(float64(writes)/seconds, "writes/s")
	b.ReportMetric(float64(count)/seconds, "orders/s")
	b.ReportMetric(total.Seconds()*1000/float64(count), "ms/order")
	b.ReportMetric(0, "ns/op")
}

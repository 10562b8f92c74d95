package slopes

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/caller"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// memoryCase keeps count streams or connections open at a fleet of one entry, and returns the resident
// memory of the entry, in bytes, while they are open.
type memoryCase func(ctx context.Context, fleet *fleet, count int) (float64, error)

// streams measures the memory per open stream that relays a token every 500 ms.
func (bench *bench) streams(ctx context.Context) error {
	const few, many = 200, 1000
	return bench.memorySlope(ctx, few, many, "memory per open stream, KB", func(ctx context.Context, fleet *fleet, count int) (float64, error) {
		entries := []request.Handler{caller.New(fleet.callerAddress(), callerKey)}
		ctx, cancel := context.WithCancel(ctx)
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() {
			load.Run(ctx, load.Settings{Duration: time.Second, Mix: []load.Work{
				{Name: "held", Service: serviceSlow, PerSecond: float64(count), Tokens: 100, PromptBytes: 1024},
			}}, entries)
		})
		return resident(ctx, fleet, 3*time.Second)
	})
}

// connections measures the memory per idle connection on which one request was made.
func (bench *bench) connections(ctx context.Context) error {
	const few, many = 200, 2000
	return bench.memorySlope(ctx, few, many, "memory per idle connection, KB", func(ctx context.Context, fleet *fleet, count int) (float64, error) {
		var open []net.Conn
		defer func() {
			for _, connection := range open {
				_ = connection.Close()
			}
		}()
		for range count {
			connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", fleet.callerAddress())
			if err != nil {
				return 0, err
			}
			open = append(open, connection)
			if _, err := fmt.Fprint(connection, "GET /none HTTP/1.1\r\nHost: entry\r\n\r\n"); err != nil {
				return 0, err
			}
			if _, err := connection.Read(make([]byte, 4096)); err != nil {
				return 0, err
			}
		}
		return resident(ctx, fleet, time.Second)
	})
}

// resident returns the resident memory of the entries after a wait, in bytes.
func resident(ctx context.Context, fleet *fleet, wait time.Duration) (float64, error) {
	if err := pause.For(ctx, wait); err != nil {
		return 0, err
	}
	used, err := totalUsage(fleet.entries)
	return used.residentBytes, err
}

// memorySlope adds the memory per unit, in KB, to the report: the slope between the memory at the counts few
// and many. Each count has an entry of its own; both run at the same time, which does not affect their memory.
func (bench *bench) memorySlope(ctx context.Context, few, many int, name string, measure memoryCase) error {
	for range repeats {
		var memoryFew, memoryMany float64
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() (err error) { memoryFew, err = bench.memoryAt(ctx, few, measure); return err })
		group.Go(func() (err error) { memoryMany, err = bench.memoryAt(ctx, many, measure); return err })
		if err := group.Wait(); err != nil {
			return err
		}
		bench.report.add(name, (memoryMany-memoryFew)/float64(many-few)/1000)
	}
	return nil
}

// memoryAt starts an entry and returns its resident memory, in bytes, as measure finds it with count units open.
func (bench *bench) memoryAt(ctx context.Context, count int, measure memoryCase) (float64, error) {
	fleet, err := bench.newFleet(ctx, 1, config.Change{})
	if err != nil {
		return 0, err
	}
	defer fleet.close(ctx)
	return measure(ctx, fleet, count)
}

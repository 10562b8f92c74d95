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

// holder keeps count things open at a fleet of one entry and returns the entry's memory meanwhile.
type holder func(ctx context.Context, fleet *fleet, count int) (float64, error)

// streams measures the memory per stream that is open and relays a token every 500 ms.
func (bench *bench) streams(ctx context.Context) error {
	const few, many = 200, 1000
	return bench.twice(ctx, few, many, "memory per open stream, KB", func(ctx context.Context, fleet *fleet, count int) (float64, error) {
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
	return bench.twice(ctx, few, many, "memory per idle connection, KB", func(ctx context.Context, fleet *fleet, count int) (float64, error) {
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

// resident returns the memory of the entries after a wait, in bytes.
func resident(ctx context.Context, fleet *fleet, wait time.Duration) (float64, error) {
	if err := pause.For(ctx, wait); err != nil {
		return 0, err
	}
	used, err := usages(fleet.entries)
	return used.resident, err
}

// twice notes the slope between two counts, each with a new entry. The two run at
// the same time, which memory does not depend on.
func (bench *bench) twice(ctx context.Context, few, many int, name string, hold holder) error {
	for range repeats {
		var less, more float64
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() (err error) { less, err = bench.once(ctx, few, hold); return err })
		group.Go(func() (err error) { more, err = bench.once(ctx, many, hold); return err })
		if err := group.Wait(); err != nil {
			return err
		}
		bench.report.add(name, (more-less)/float64(many-few)/1000)
	}
	return nil
}

func (bench *bench) once(ctx context.Context, count int, hold holder) (float64, error) {
	fleet, err := bench.newFleet(ctx, 1, config.Change{})
	if err != nil {
		return 0, err
	}
	defer fleet.close()
	return hold(ctx, fleet, count)
}

package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/caller"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// cost is the number of requests of a load and what they cost the entries of a fleet together.
type cost struct {
	answered float64
	cpu      time.Duration
	elapsed  time.Duration
	calls    kv.Counts
}

// cpuMicrosPerRequest returns the CPU time per answered request in microseconds.
func (cost cost) cpuMicrosPerRequest() float64 {
	return float64(cost.cpu.Microseconds()) / cost.answered
}

// run sends work to all entries of a fleet for duration and returns its cost. It returns an error unless
// every request was answered completely and correctly.
func (fleet *fleet) run(ctx context.Context, duration time.Duration, seed uint64, work load.Work) (cost, error) {
	var entries []request.Handler
	for _, entry := range fleet.entries {
		entries = append(entries, caller.New(entry.Addresses["CallerAddress"], callerKey))
	}
	before, err := totalUsage(fleet.entries)
	if err != nil {
		return cost{}, err
	}
	callsBefore, started := fleet.store.Counts(), time.Now()
	report := load.Run(ctx, load.Settings{Seed: seed, Duration: duration, Mix: []load.Work{work}}, entries)
	after, err := totalUsage(fleet.entries)
	if err != nil {
		return cost{}, err
	}
	samples := report[work.Name]
	if samples == nil || samples.Answered == 0 || samples.Refused+samples.Failed+samples.Wrong > 0 {
		return cost{}, fmt.Errorf("not all requests were answered completely and correctly: %v", report)
	}
	return cost{
		answered: float64(samples.Answered),
		cpu:      after.cpu - before.cpu,
		elapsed:  time.Since(started),
		calls:    fleet.store.Counts().Since(callsBefore),
	}, nil
}

// requests measures the CPU time of an operation of a plain service.
func (bench *bench) requests(ctx context.Context) error {
	return bench.repeat(ctx, 1, func(fleet *fleet, run int) error {
		cost, err := fleet.run(ctx, 2*time.Second, uint64(run), load.Work{Name: "lookup", Service: serviceStock, PerSecond: 400})
		if err == nil {
			bench.report.add("CPU per lookup at 400/s, us", cost.cpuMicrosPerRequest())
		}
		return err
	})
}

// tokens measures streams of two lengths, whose difference gives the cost of a token, and then one entry at its
// peak rate: one 420th of 1,700 requests per second, with 318 tokens each.
func (bench *bench) tokens(ctx context.Context) error {
	const short, long, peak = 10, 210, 318
	return bench.repeat(ctx, 1, func(fleet *fleet, run int) error {
		shortCost, err := fleet.run(ctx, 2*time.Second, uint64(run), load.Work{Name: "short", Service: serviceFast, PerSecond: 40, Tokens: short})
		if err != nil {
			return err
		}
		longCost, err := fleet.run(ctx, 2*time.Second, uint64(run), load.Work{Name: "long", Service: serviceFast, PerSecond: 40, Tokens: long})
		if err != nil {
			return err
		}
		token := (longCost.cpuMicrosPerRequest() - shortCost.cpuMicrosPerRequest()) / (long - short)
		bench.report.add("CPU per relayed token at 40 streams/s, us", token)
		bench.report.add("CPU per stream without its tokens, us", shortCost.cpuMicrosPerRequest()-short*token)
		peakCost, err := fleet.run(ctx, 4*time.Second, uint64(run), load.Work{Name: "peak", Service: serviceFast, PerSecond: 1700.0 / 420, Tokens: peak})
		if err != nil {
			return err
		}
		bench.report.add("CPU per stream of 318 tokens at 4/s, us", peakCost.cpuMicrosPerRequest())
		bench.report.add("the same as a share of a core at 1,700/420 a second, %", peakCost.cpuMicrosPerRequest()*1700/420/1e4)
		return nil
	})
}

// orders measures bookings at one entry, and at eight entries. An entry that receives an order forwards it to
// the leader of the order's shard if that is another entry.
func (bench *bench) orders(ctx context.Context) error {
	for _, entries := range []int{1, 8} {
		err := bench.repeat(ctx, entries, func(fleet *fleet, run int) error {
			work := load.Work{Name: fmt.Sprintf("order-%d", run), Service: serviceOrder, PerSecond: 20, WithKey: true}
			cost, err := fleet.run(ctx, 3*time.Second, uint64(run), work)
			if err == nil {
				bench.report.add(fmt.Sprintf("CPU per order at 20/s over %d entries, us", entries), cost.cpuMicrosPerRequest())
				bench.report.addCalls(fmt.Sprintf("calls per order at 20/s over %d entries", entries), cost.calls, cost.answered)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// repeat calls run repeats times against one fleet.
func (bench *bench) repeat(ctx context.Context, entries int, run func(fleet *fleet, run int) error) error {
	fleet, err := bench.newFleet(ctx, entries, config.Change{})
	if err != nil {
		return err
	}
	defer fleet.close(ctx)
	for index := range repeats {
		if err := run(fleet, index); err != nil {
			return err
		}
	}
	return nil
}

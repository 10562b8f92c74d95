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

// cost is what a load used of the entries.
type cost struct {
	answered float64
	cpu      time.Duration
	took     time.Duration
	calls    kv.Counts
}

// perRequest returns the processor time per answered request in microseconds.
func (cost cost) perRequest() float64 { return float64(cost.cpu.Microseconds()) / cost.answered }

// offer sends work to all entries of a fleet; an answer that is not whole is an error.
func (fleet *fleet) offer(ctx context.Context, duration time.Duration, seed uint64, work load.Work) (cost, error) {
	var entries []request.Handler
	for _, entry := range fleet.entries {
		entries = append(entries, caller.New(entry.Addresses["CallerAddress"], callerKey))
	}
	before, err := usages(fleet.entries)
	if err != nil {
		return cost{}, err
	}
	calls, began := fleet.store.Counts(), time.Now()
	report := load.Run(ctx, load.Settings{Seed: seed, Duration: duration, Mix: []load.Work{work}}, entries)
	after, err := usages(fleet.entries)
	if err != nil {
		return cost{}, err
	}
	samples := report[work.Name]
	if samples == nil || samples.Answered == 0 || samples.Refused+samples.Failed+samples.Wrong > 0 {
		return cost{}, fmt.Errorf("not all requests were answered: %v", report)
	}
	return cost{
		answered: float64(samples.Answered),
		cpu:      after.cpu - before.cpu,
		took:     time.Since(began),
		calls:    fleet.store.Counts().Since(calls),
	}, nil
}

// requests measures operations of a plain service.
func (bench *bench) requests(ctx context.Context) error {
	return bench.each(ctx, 1, func(fleet *fleet, run int) error {
		used, err := fleet.offer(ctx, 2*time.Second, uint64(run), load.Work{Name: "lookup", Service: serviceStock, PerSecond: 400})
		if err == nil {
			bench.report.add("CPU per lookup at 400/s, us", used.perRequest())
		}
		return err
	})
}

// tokens measures streams of two lengths, whose difference is the cost of tokens,
// and then the rates of one entry at the peak: 1,700/420 requests a second of 318 tokens.
func (bench *bench) tokens(ctx context.Context) error {
	const short, long, peak = 10, 210, 318
	return bench.each(ctx, 1, func(fleet *fleet, run int) error {
		first, err := fleet.offer(ctx, 2*time.Second, uint64(run), load.Work{Name: "short", Service: serviceFast, PerSecond: 40, Tokens: short})
		if err != nil {
			return err
		}
		second, err := fleet.offer(ctx, 2*time.Second, uint64(run), load.Work{Name: "long", Service: serviceFast, PerSecond: 40, Tokens: long})
		if err != nil {
			return err
		}
		token := (second.perRequest() - first.perRequest()) / (long - short)
		bench.report.add("CPU per relayed token at 40 streams/s, us", token)
		bench.report.add("CPU per stream without its tokens, us", first.perRequest()-short*token)
		third, err := fleet.offer(ctx, 4*time.Second, uint64(run), load.Work{Name: "peak", Service: serviceFast, PerSecond: 1700.0 / 420, Tokens: peak})
		if err != nil {
			return err
		}
		bench.report.add("CPU per stream of 318 tokens at 4/s, us", third.perRequest())
		bench.report.add("the same as a share of a core at 1,700/420 a second, %", third.perRequest()*1700/420/1e4)
		return nil
	})
}

// orders measures bookings at one entry and spread over eight that do not forward them.
func (bench *bench) orders(ctx context.Context) error {
	for _, entries := range []int{1, 8} {
		err := bench.each(ctx, entries, func(fleet *fleet, run int) error {
			work := load.Work{Name: fmt.Sprintf("order-%d", run), Service: serviceOrder, PerSecond: 20, WithKey: true}
			used, err := fleet.offer(ctx, 3*time.Second, uint64(run), work)
			if err == nil {
				bench.report.add(fmt.Sprintf("CPU per order at 20/s over %d entries, us", entries), used.perRequest())
				bench.report.addCalls(fmt.Sprintf("calls per order at 20/s over %d entries", entries), used.calls, used.answered)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// each runs a case the number of repeats against one fleet.
func (bench *bench) each(ctx context.Context, entries int, run func(fleet *fleet, run int) error) error {
	fleet, err := bench.newFleet(ctx, entries, config.Change{})
	if err != nil {
		return err
	}
	defer fleet.close()
	for number := range repeats {
		if err := run(fleet, number); err != nil {
			return err
		}
	}
	return nil
}

package slopes

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

const (
	// idleWindow is the time over which the use of idle entries is measured: long enough for the 10 ms
	// resolution of the CPU times in /proc.
	idleWindow = 15 * time.Second
	// changesPerRun is how many changes a run commits, one after the other.
	changesPerRun = 20
)

// documents measures the memory per document of an entry that loads documents at its start.
func (bench *bench) documents(ctx context.Context) error {
	const few, many = 200, 2000
	for range repeats {
		for name, documents := range map[string]func(int) config.Change{"backend server": idleBackends, "client account": idleAccounts} {
			var memoryFew, memoryMany float64
			group, ctx := errgroup.WithContext(ctx)
			group.Go(func() (err error) { memoryFew, err = bench.memoryWithDocuments(ctx, documents(few)); return err })
			group.Go(func() (err error) { memoryMany, err = bench.memoryWithDocuments(ctx, documents(many)); return err })
			if err := group.Wait(); err != nil {
				return err
			}
			bench.report.add(fmt.Sprintf("memory of an entry with %d documents of a %s, MB", few, name), memoryFew/1e6)
			bench.report.add(fmt.Sprintf("memory of an entry with %d documents of a %s, MB", many, name), memoryMany/1e6)
			bench.report.add(fmt.Sprintf("memory per %s, KB", name), (memoryMany-memoryFew)/(many-few)/1000)
		}
	}
	return nil
}

// memoryWithDocuments returns the resident memory, in bytes, of an entry that is started after the
// documents were committed.
func (bench *bench) memoryWithDocuments(ctx context.Context, documents config.Change) (float64, error) {
	fleet, err := bench.newFleet(ctx, 1, documents)
	if err != nil {
		return 0, err
	}
	defer fleet.close(ctx)
	entry, err := fleet.add()
	if err != nil {
		return 0, err
	}
	if err := pause.For(ctx, settleDelay); err != nil {
		return 0, err
	}
	used, err := usageOf(entry)
	return used.residentBytes, err
}

// changes measures the cost of changing one document, with 8 entries and 420 backend servers.
func (bench *bench) changes(ctx context.Context) error {
	const entries, backends = 8, 420
	fleet, err := bench.newFleet(ctx, entries, idleBackends(backends))
	if err != nil {
		return err
	}
	defer fleet.close(ctx)
	revision := int64(1)
	for run := range repeats {
		before, err := totalUsage(fleet.entries)
		if err != nil {
			return err
		}
		callsBefore, began := fleet.store.Counts(), time.Now()
		for range changesPerRun {
			change := idleBackends(1)
			change.Backends[0].Slots = 9 + run + int(revision)
			if err := fleet.commit(ctx, revision, change); err != nil {
				return err
			}
			revision++
		}
		if err := pause.For(ctx, time.Second); err != nil {
			return err
		}
		elapsed, newCalls := time.Since(began), fleet.store.Counts().Since(callsBefore)
		after, err := totalUsage(fleet.entries)
		if err != nil {
			return err
		}
		bench.report.add("time per change with its second of rest, ms", elapsed.Seconds()*1000/changesPerRun)
		bench.report.add("CPU per change and entry, idle use included, us", float64((after.cpu-before.cpu).Microseconds())/changesPerRun/entries)
		bench.report.add("bytes per change and entry, idle use included", (after.ioBytes-before.ioBytes)/changesPerRun/entries)
		bench.report.addCalls("calls per change, idle calls included", newCalls, changesPerRun)
	}
	return nil
}

// idle measures fleets without load, all at the same time, since they use next to no resources.
func (bench *bench) idle(ctx context.Context) error {
	var fleets []*fleet
	defer func() {
		for _, fleet := range fleets {
			fleet.close(ctx)
		}
	}()
	for _, entries := range []int{1, 3, 8} {
		fleet, err := bench.newFleet(ctx, entries, config.Change{})
		if err != nil {
			return err
		}
		fleets = append(fleets, fleet)
	}
	for range repeats {
		if err := bench.measureWindow(ctx, fleets); err != nil {
			return err
		}
	}
	return nil
}

// measureWindow adds the use of all fleets over one idleWindow to the report.
func (bench *bench) measureWindow(ctx context.Context, fleets []*fleet) error {
	var before []sample
	for _, fleet := range fleets {
		started, err := takeSample(fleet)
		if err != nil {
			return err
		}
		before = append(before, started)
	}
	if err := pause.For(ctx, idleWindow); err != nil {
		return err
	}
	for i, fleet := range fleets {
		if err := bench.reportUsage(before[i], fleet); err != nil {
			return err
		}
	}
	return nil
}

// reportUsage adds the use of a fleet since an earlier sample to the report, per entry.
func (bench *bench) reportUsage(before sample, fleet *fleet) error {
	after, err := takeSample(fleet)
	if err != nil {
		return err
	}
	entries := float64(len(fleet.entries))
	seconds := after.at.Sub(before.at).Seconds() * entries
	name := fmt.Sprintf("of an idle entry among %d", len(fleet.entries))
	bench.report.add("CPU "+name+", % of a core", 100*(after.usage.cpu-before.usage.cpu).Seconds()/seconds)
	bench.report.add("bytes read and written "+name+", B/s", (after.usage.ioBytes-before.usage.ioBytes)/seconds)
	bench.report.add("memory "+name+", MB", after.usage.residentBytes/entries/1e6)
	bench.report.addCalls("calls a second "+name, after.calls.Since(before.calls), seconds)
	return nil
}

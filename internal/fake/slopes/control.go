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
	// idleWindow is long enough for the ticks of 10 ms in which /proc counts.
	idleWindow = 15 * time.Second
	// changesPerRun is how many changes a run commits one after the other.
	changesPerRun = 20
)

// documents measures the memory of an entry that loads documents at its start.
func (bench *bench) documents(ctx context.Context) error {
	const few, many = 200, 2000
	for range repeats {
		for name, documents := range map[string]func(int) config.Change{"backend server": idleBackends, "client account": idleAccounts} {
			var less, more float64
			group, ctx := errgroup.WithContext(ctx)
			group.Go(func() (err error) { less, err = bench.loaded(ctx, documents(few)); return err })
			group.Go(func() (err error) { more, err = bench.loaded(ctx, documents(many)); return err })
			if err := group.Wait(); err != nil {
				return err
			}
			bench.report.add(fmt.Sprintf("memory of an entry with %d documents of a %s, MB", few, name), less/1e6)
			bench.report.add(fmt.Sprintf("memory of an entry with %d documents of a %s, MB", many, name), more/1e6)
			bench.report.add(fmt.Sprintf("memory per %s, KB", name), (more-less)/(many-few)/1000)
		}
	}
	return nil
}

// loaded returns the memory of an entry that was started after the documents were accepted.
func (bench *bench) loaded(ctx context.Context, documents config.Change) (float64, error) {
	fleet, err := bench.newFleet(ctx, 1, documents)
	if err != nil {
		return 0, err
	}
	defer fleet.close()
	entry, err := fleet.add()
	if err != nil {
		return 0, err
	}
	if err := pause.For(ctx, settle); err != nil {
		return 0, err
	}
	used, err := usageOf(entry)
	return used.resident, err
}

// changes measures changes of one document at 8 entries with 420 backend servers.
func (bench *bench) changes(ctx context.Context) error {
	const entries, backends = 8, 420
	fleet, err := bench.newFleet(ctx, entries, idleBackends(backends))
	if err != nil {
		return err
	}
	defer fleet.close()
	revision := int64(1)
	for run := range repeats {
		before, err := usages(fleet.entries)
		if err != nil {
			return err
		}
		calls, began := fleet.store.Counts(), time.Now()
		for range changesPerRun {
			one := idleBackends(1)
			one.Backends[0].Slots = 9 + run + int(revision)
			if err := fleet.commit(ctx, revision, one); err != nil {
				return err
			}
			revision++
		}
		if err := pause.For(ctx, time.Second); err != nil {
			return err
		}
		took, made := time.Since(began), fleet.store.Counts().Since(calls)
		after, err := usages(fleet.entries)
		if err != nil {
			return err
		}
		bench.report.add("time per change with its second of rest, ms", took.Seconds()*1000/changesPerRun)
		bench.report.add("CPU per change and entry, idle use included, us", float64((after.cpu-before.cpu).Microseconds())/changesPerRun/entries)
		bench.report.add("bytes per change and entry, idle use included", (after.moved-before.moved)/changesPerRun/entries)
		bench.report.addCalls("calls per change, idle calls included", made, changesPerRun)
	}
	return nil
}

// idle measures fleets without work, all at once since they use next to nothing.
func (bench *bench) idle(ctx context.Context) error {
	var fleets []*fleet
	defer func() {
		for _, fleet := range fleets {
			fleet.close()
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
		if err := bench.window(ctx, fleets); err != nil {
			return err
		}
	}
	return nil
}

// window notes the use of all fleets over one window.
func (bench *bench) window(ctx context.Context, fleets []*fleet) error {
	var looks []look
	for _, fleet := range fleets {
		look, err := newLook(fleet)
		if err != nil {
			return err
		}
		looks = append(looks, look)
	}
	if err := pause.For(ctx, idleWindow); err != nil {
		return err
	}
	for i, fleet := range fleets {
		if err := bench.note(looks[i], fleet); err != nil {
			return err
		}
	}
	return nil
}

// note reports what the entries of a fleet used since a look at them.
func (bench *bench) note(before look, fleet *fleet) error {
	after, err := newLook(fleet)
	if err != nil {
		return err
	}
	entries := float64(len(fleet.entries))
	seconds := after.at.Sub(before.at).Seconds() * entries
	name := fmt.Sprintf("of an idle entry among %d", len(fleet.entries))
	bench.report.add("CPU "+name+", % of a core", 100*(after.used.cpu-before.used.cpu).Seconds()/seconds)
	bench.report.add("bytes read and written "+name+", B/s", (after.used.moved-before.used.moved)/seconds)
	bench.report.add("memory "+name+", MB", after.used.resident/entries/1e6)
	bench.report.addCalls("calls a second "+name, after.calls.Since(before.calls), seconds)
	return nil
}

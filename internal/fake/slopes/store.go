package slopes

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
)

const (
	// startChanges is more than a page of the log, so that a start shows reads by page.
	startChanges = 150
	// outage is how long the service is out, several times the longest backoff.
	outage = 15 * time.Second
	// returned is the time after an outage in which all entries come back.
	returned = 6 * time.Second
)

// starts measures the calls of an entry that starts, with a log of several pages.
func (bench *bench) starts(ctx context.Context) error {
	fleet, err := bench.newFleet(ctx, 1, config.Change{})
	if err != nil {
		return err
	}
	defer fleet.close()
	for revision := range int64(startChanges) {
		one := idleBackends(1)
		one.Backends[0].Slots = 9 + int(revision)
		if err := fleet.commit(ctx, 1+revision, one); err != nil {
			return err
		}
	}
	for range repeats {
		before := fleet.store.Counts()
		entry, err := fleet.add()
		if err != nil {
			return err
		}
		if err := pause.For(ctx, settle); err != nil {
			return err
		}
		entry.Kill()
		fleet.entries = fleet.entries[:1]
		bench.report.addCalls("calls of a starting entry, 151 changes and no checkpoint", fleet.store.Counts().Since(before), 1)
	}
	return nil
}

// outages measures the calls of entries without work while the service is out, and once it is back.
func (bench *bench) outages(ctx context.Context) error {
	const entries = 8
	fleet, err := bench.newFleet(ctx, entries, config.Change{})
	if err != nil {
		return err
	}
	defer fleet.close()
	// One long outage and two looks at it, since a run for each would take too long.
	fleet.store.Inject(func(faults kv.Faults) kv.Faults { return faults.WithOut(true) })
	for range 2 {
		before := fleet.store.Counts()
		if err := pause.For(ctx, outage/2); err != nil {
			return err
		}
		bench.report.addCalls("calls a second and entry while the service is out", fleet.store.Counts().Since(before), entries*outage.Seconds()/2)
	}
	before := fleet.store.Counts()
	fleet.store.Inject(func(faults kv.Faults) kv.Faults { return faults.WithOut(false) })
	if err := pause.For(ctx, returned); err != nil {
		return err
	}
	bench.report.addCalls("calls of an entry in the 6 s after that", fleet.store.Counts().Since(before), entries)
	return nil
}

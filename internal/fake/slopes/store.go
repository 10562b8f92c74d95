package slopes

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
)

const (
	// startChanges is the number of changes in the log when an entry starts. It exceeds one page of the log, so
	// that the entry reads several pages.
	startChanges = 150
	// outageDuration is how long the key-value service is unavailable: several times the longest backoff.
	outageDuration = 15 * time.Second
	// recoveryWindow is the time after an outage within which all entries reconnect.
	recoveryWindow = 6 * time.Second
)

// starts measures the calls of a starting entry, with a change log of several pages.
func (bench *bench) starts(ctx context.Context) error {
	fleet, err := bench.newFleet(ctx, 1, config.Change{})
	if err != nil {
		return err
	}
	defer fleet.close(ctx)
	for revision := range int64(startChanges) {
		change := idleBackends(1)
		change.Backends[0].Slots = 9 + int(revision)
		if err := fleet.commit(ctx, 1+revision, change); err != nil {
			return err
		}
	}
	for range repeats {
		callsBefore := fleet.store.Counts()
		entry, err := fleet.add()
		if err != nil {
			return err
		}
		if err := pause.For(ctx, settleDelay); err != nil {
			return err
		}
		entry.Kill()
		fleet.entries = fleet.entries[:1]
		bench.report.addCalls("calls of a starting entry, 151 changes and no checkpoint", fleet.store.Counts().Since(callsBefore), 1)
	}
	return nil
}

// outages measures the calls of entries without load during an outage of the key-value service and after it.
func (bench *bench) outages(ctx context.Context) error {
	const entries = 8
	fleet, err := bench.newFleet(ctx, entries, config.Change{})
	if err != nil {
		return err
	}
	defer fleet.close(ctx)
	// One long outage is measured in two halves, since an outage per measurement would take too long.
	fleet.store.Inject(func(faults kv.Faults) kv.Faults { return faults.WithOut(true) })
	for range 2 {
		callsBefore := fleet.store.Counts()
		if err := pause.For(ctx, outageDuration/2); err != nil {
			return err
		}
		bench.report.addCalls("calls a second and entry while the service is out", fleet.store.Counts().Since(callsBefore), entries*outageDuration.Seconds()/2)
	}
	callsBefore := fleet.store.Counts()
	fleet.store.Inject(func(faults kv.Faults) kv.Faults { return faults.WithOut(false) })
	if err := pause.For(ctx, recoveryWindow); err != nil {
		return err
	}
	bench.report.addCalls("calls of an entry in the 6 s after that", fleet.store.Counts().Since(callsBefore), entries)
	return nil
}

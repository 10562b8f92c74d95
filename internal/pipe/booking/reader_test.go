package booking_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	decide "github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

const (
	// probeInterval is the time between two reads by the reader that follows the log.
	probeInterval = 10 * time.Second
	// compareAt is the time at which a late reader reads the whole log and the states are
	// compared: after the first truncation and before all outcomes expire.
	compareAt = 150 * time.Second
)

// reader is an entry without injected faults that reads the log to derive the state.
type reader struct {
	name   string
	ledger *booking.Ledger
	probes int
}

func startReader(ctx context.Context, running *sync.WaitGroup, store *fakekv.Memory, name string) *reader {
	settings := exploreSettings(name)
	link := store.Connect(time.Millisecond)
	ledger := booking.New(settings, nil, func(int) booking.Log { return kvlog.New(link, "b") })
	running.Go(func() { _ = ledger.Run(ctx) })
	return &reader{name: name, ledger: ledger}
}

// probe executes an order with the reader's own key, which makes the reader read the log.
func (reader *reader) probe() {
	reader.probes++
	key := decide.Key{Account: reader.name, IdempotencyKey: fmt.Sprint(reader.probes)}
	order := booking.Order{Key: key, BodyHash: "b", Deadline: time.Now().Add(time.Minute)}
	sender := &sender{service: newService(), random: rand.New(rand.NewPCG(1, 1)), crashed: new(atomic.Bool)}
	_, _ = reader.ledger.Execute(context.Background(), order, sender)
}

// follow probes until compareAt, and then returns the difference between the states of this
// reader and of a reader that starts late, or an empty string if there is none.
func (reader *reader) follow(keys int, startLate func() *reader) string {
	for range compareAt / probeInterval {
		reader.probe()
		sleep(probeInterval)
	}
	late := startLate()
	difference := ""
	// Entries may be appended between the two probes, so a difference must persist to count.
	for range 3 {
		late.probe()
		reader.probe()
		if difference = reader.difference(late, keys); difference == "" {
			return ""
		}
		sleep(probeInterval)
	}
	return difference
}

// difference describes the first key whose unexpired record differs between two readers, empty for none.
func (reader *reader) difference(late *reader, keys int) string {
	for number := range keys {
		key := decide.Key{Account: "a", IdempotencyKey: fmt.Sprintf("key%d", number)}
		earlyRecord, lateRecord := reader.ledger.Shard(0).Record(key), late.ledger.Shard(0).Record(key)
		if earlyRecord.Expired(time.Now(), retention) {
			continue
		}
		if earlyRecord.State != lateRecord.State || earlyRecord.Attempt != lateRecord.Attempt || earlyRecord.Attempts != lateRecord.Attempts {
			return fmt.Sprintf("%s is in state %s at the early reader, in state %s at the late one", key.IdempotencyKey, earlyRecord.State, lateRecord.State)
		}
	}
	return ""
}

// exploreSettings returns settings with one shard, and with a retention and truncation interval
// that fit into a schedule.
func exploreSettings(holder string) booking.Settings {
	settings := booking.DefaultSettings(holder)
	settings.Shards, settings.ShardSettings.Retention = 1, retention
	settings.TruncateInterval, settings.TruncateEntries = 20*time.Second, 1
	return settings
}

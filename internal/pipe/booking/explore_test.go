package booking_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	decide "github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

// rapidSeed makes every run explore the same schedules, unless the command line gives another.
const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// retention is longer than any attempt goes on, as a day is in production, but
// short enough for truncation to be explored.
const retention = 2 * time.Minute

// schedule is one drawn course of events.
type schedule struct {
	seed      uint64
	entries   int
	chaos     float64
	hasStatus bool
	byKey     bool
	// readers compares what an early and a late reader make of the log; it
	// takes several times as long as the rest.
	readers bool
	// crashes and outages are when each entry ends or loses the store, 0 for never.
	crashes, outages []time.Duration
	// visits are the entries that the caller of each key asks in turn.
	visits [][]int
	gap    time.Duration
}

func drawSchedule(t *rapid.T) schedule {
	entries := rapid.IntRange(1, 3).Draw(t, "entries")
	moment := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
	})
	visits := rapid.SliceOfN(rapid.IntRange(0, entries-1), 1, 5)
	return schedule{
		seed: rapid.Uint64().Draw(t, "seed"), entries: entries,
		chaos:     rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.6}).Draw(t, "chaos"),
		hasStatus: rapid.Bool().Draw(t, "status"),
		byKey:     rapid.Bool().Draw(t, "byKey"),
		crashes:   rapid.SliceOfN(moment, entries, entries).Draw(t, "crashes"),
		outages:   rapid.SliceOfN(moment, entries, entries).Draw(t, "outages"),
		visits:    rapid.SliceOfN(visits, 1, 3).Draw(t, "visits"),
		readers:   rapid.IntRange(0, 3).Draw(t, "readers") == 0,
		gap:       time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond,
	}
}

// variant removes a rule from the protocol.
type variant struct {
	byKey bool
	wrap  func(kvlog.Store, *kvlog.Log) booking.Log
}

func sound(_ kvlog.Store, log *kvlog.Log) booking.Log { return log }

// end is what one attempt was told.
type end struct {
	key    string
	answer call.Answer
	err    error
	sender *sender
	// crashed reports that the entry ended first, so the caller was told nothing.
	crashed bool
}

// verdict is the first broken property, empty for none, and how many attempts ended in which way.
type verdict struct {
	violation                 string
	answered, refused, unsure int
}

// explore runs the schedule in virtual time.
func explore(t *testing.T, plan schedule, variant variant) (found verdict) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store, target := fakekv.NewMemory(), newService()
		target.byKey = plan.byKey
		var dead []*atomic.Bool
		var ledgers []*booking.Ledger
		var running sync.WaitGroup
		for index := range plan.entries {
			link, ended := store.Connect(2*time.Millisecond), new(atomic.Bool)
			link.InjectRandomFaults(plan.seed+uint64(index), plan.chaos)
			dead = append(dead, ended)
			settings := exploreSettings(fmt.Sprintf("entry%d", index))
			ledger := booking.New(settings, nil, func(int) booking.Log { return variant.wrap(link, kvlog.New(link, "b")) })
			ledgers = append(ledgers, ledger)
			running.Go(func() { _ = ledger.Run(ctx) })
			if at := plan.crashes[index]; at > 2*time.Second {
				time.AfterFunc(at, func() {
					ended.Store(true)
					link.Kill()
				})
			}
			if at := plan.outages[index]; at > time.Second {
				time.AfterFunc(at, func() { link.SetOut(true) })
				time.AfterFunc(at+5*time.Second, func() { link.SetOut(false) })
			}
		}
		ends := make(chan end, 100)
		for number, visits := range plan.visits {
			running.Go(func() {
				key := fmt.Sprintf("key%d", number)
				for turn, entry := range visits {
					sender := &sender{
						service: target, key: key, chaos: plan.chaos, dead: dead[entry], hasStatus: plan.hasStatus,
						random: rand.New(rand.NewPCG(plan.seed, uint64(100*number+turn+10))),
					}
					order := booking.Order{
						Key: decide.Key{Account: "a", IdempotencyKey: key}, BodyHash: "body", ByKey: plan.byKey || variant.byKey,
						Deadline: time.Now().Add(time.Duration(1+turn*10) * time.Second),
					}
					running.Go(func() {
						answer, err := ledgers[entry].Do(context.Background(), order, sender)
						ends <- end{key: key, answer: answer, err: err, sender: sender, crashed: dead[entry].Load()}
					})
					rest(plan.gap)
				}
			})
		}
		// Entries after the retention let the log be truncated under paused writers.
		difference := ""
		if plan.readers {
			early := startReader(ctx, &running, store, "early")
			difference = early.follow(len(plan.visits), func() *reader { return startReader(ctx, &running, store, "late") })
		}
		rest(3 * time.Minute)
		for _, ledger := range ledgers {
			running.Go(func() {
				key := decide.Key{Account: "a", IdempotencyKey: "later"}
				order := booking.Order{Key: key, ByKey: true, Deadline: time.Now().Add(time.Minute)}
				_, _ = ledger.Do(context.Background(), order, &sender{service: newService(), random: rand.New(rand.NewPCG(1, 1)), dead: new(atomic.Bool)})
			})
		}
		rest(7 * time.Minute)
		cancel()
		running.Wait()
		// Broken variants leave appends behind.
		rest(10 * time.Minute)
		close(ends)
		found = judge(ends, target)
		if found.violation == "" {
			found.violation = difference
		}
	})
	return found
}

// judge checks the stated properties over all attempts.
func judge(ends <-chan end, target *service) (found verdict) {
	runs := target.runs.Load()
	fail := func(format string, args ...any) { found.violation = fmt.Sprintf(format, args...) }
	for key, count := range runs {
		if count > 1 {
			fail("%s ran %d times", key, count)
		}
	}
	first := map[string]call.Answer{}
	open := map[string]bool{}
	for end := range ends {
		open[end.key] = open[end.key] || end.crashed || !notRun(end.err)
		switch {
		case end.crashed:
		case notRun(end.err):
			found.refused++
			if end.sender.ran.Load() {
				fail("%s: an attempt that ran was told: %v", end.key, end.err)
			}
		case end.err != nil:
			found.unsure++
		default:
			found.answered++
			if earlier, ok := first[end.key]; ok && !bytes.Equal(earlier.Body, end.answer.Body) {
				fail("%s: answers %q and %q", end.key, earlier.Body, end.answer.Body)
			}
			first[end.key] = end.answer
			if runs[end.key] == 0 {
				fail("%s: an answer without a run", end.key)
			}
		}
	}
	for key, open := range open {
		if !open && runs[key] > 0 {
			fail("%s ran although every attempt was told that it did not", key)
		}
	}
	return found
}

func notRun(err error) bool {
	var refusal *call.Refusal
	var failure *call.Failure
	return errors.As(err, &refusal) || errors.As(err, &failure) && failure.Ran == call.RanNot
}

// Guards against orders that run twice, answers that differ, and a false "not run", over drawn
// pauses, crashes, lost and repeated deliveries, outages, and several owners of a key.
func TestProtocolHoldsUnderExploration(t *testing.T) {
	var total verdict
	rapid.Check(t, func(r *rapid.T) {
		found := explore(t, drawSchedule(r), variant{wrap: sound})
		if found.violation != "" {
			r.Fatal(found.violation)
		}
		total.answered += found.answered
		total.refused += found.refused
		total.unsure += found.unsure
	})
	t.Logf("answered %d, refused %d, unsure %d", total.answered, total.refused, total.unsure)
	assert.Greater(t, min(total.answered, total.refused, total.unsure), 10, "each way of ending is explored")
}

// earlyAppender reports an entry as committed before it is.
type earlyAppender struct{ *kvlog.Log }

func (log earlyAppender) Append(_ context.Context, entry kvlog.Entry) error {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = log.Log.Append(ctx, entry)
	}()
	return nil
}

// optimisticAppender takes a write without an answer for committed.
type optimisticAppender struct{ *kvlog.Log }

func (log optimisticAppender) Append(ctx context.Context, entry kvlog.Entry) error {
	err := log.Log.Append(ctx, entry)
	var unsure *kvlog.UncertainError
	if errors.As(err, &unsure) {
		return nil
	}
	return err
}

// overwritingStore writes regardless of what the key holds.
type overwritingStore struct{ kvlog.Store }

func (store overwritingStore) Put(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	written, err := store.Store.Put(ctx, key, value, revision)
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return store.Store.Put(ctx, key, value, conflict.Current.Revision)
	}
	return written, err
}

// scheduleLimit bounds the search for a fault; the rarest of them shows in about one of 200 schedules.
const scheduleLimit = 5000

// Guards against an exploration that is too weak to find a protocol fault.
func TestExplorationFindsRemovedRules(t *testing.T) {
	cases := []struct {
		name    string
		variant variant
	}{
		{"dispatch before commit", variant{wrap: func(_ kvlog.Store, log *kvlog.Log) booking.Log { return earlyAppender{log} }}},
		{"no answer taken for committed", variant{wrap: func(_ kvlog.Store, log *kvlog.Log) booking.Log { return optimisticAppender{log} }}},
		{"no compare-and-swap", variant{wrap: func(store kvlog.Store, _ *kvlog.Log) booking.Log {
			return kvlog.New(overwritingStore{store}, "b")
		}}},
		{"sent again without ByKey", variant{byKey: true, wrap: sound}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			generator := rapid.Custom(drawSchedule)
			violation, tried := "", 0
			for ; tried < scheduleLimit && violation == ""; tried++ {
				plan := generator.Example(tried)
				plan.readers = false
				violation = explore(t, plan, c.variant).violation
			}
			t.Logf("schedule %d: %s", tried, violation)
			assert.NotEmpty(t, violation)
		})
	}
}

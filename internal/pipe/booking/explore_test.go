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

// rapidSeed makes every run explore the same schedules, unless the command line sets another seed.
const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// retention is longer than any attempt lasts, as is the day that production uses, but
// short enough for truncations within a schedule.
const retention = 2 * time.Minute

// schedule is one randomly drawn sequence of events.
type schedule struct {
	seed    uint64
	entries int
	// faultRate is the probability of a fault in each call to the store and to the service.
	faultRate float64
	hasStatus bool
	byKey     bool
	// comparesReaders compares the states that a reader which follows the log and a reader which
	// starts late derive from it. This takes several times as long as the rest of the schedule.
	comparesReaders bool
	// crashes and outages are the times at which each entry crashes or loses the store. Crashes
	// up to 2 s and outages up to 1 s do not happen.
	crashes, outages []time.Duration
	// entryOrder lists, for each key, the entries to which its caller sends the order, one after the other.
	entryOrder [][]int
	// gap is the time from one attempt of a caller to its next.
	gap time.Duration
}

func drawSchedule(t *rapid.T) schedule {
	entries := rapid.IntRange(1, 3).Draw(t, "entries")
	moment := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
	})
	entryOrder := rapid.SliceOfN(rapid.IntRange(0, entries-1), 1, 5)
	return schedule{
		seed: rapid.Uint64().Draw(t, "seed"), entries: entries,
		faultRate:       rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.6}).Draw(t, "chaos"),
		hasStatus:       rapid.Bool().Draw(t, "status"),
		byKey:           rapid.Bool().Draw(t, "byKey"),
		crashes:         rapid.SliceOfN(moment, entries, entries).Draw(t, "crashes"),
		outages:         rapid.SliceOfN(moment, entries, entries).Draw(t, "outages"),
		entryOrder:      rapid.SliceOfN(entryOrder, 1, 3).Draw(t, "visits"),
		comparesReaders: rapid.IntRange(0, 3).Draw(t, "readers") == 0,
		gap:             time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond,
	}
}

// variant is the protocol under test, complete or with one rule removed: byKey makes all orders
// claim that the service deduplicates by key, and wrap replaces the log.
type variant struct {
	byKey bool
	wrap  func(kvlog.Store, *kvlog.Log) booking.Log
}

// unmodifiedLog returns the log as it is, for the complete protocol.
func unmodifiedLog(_ kvlog.Store, log *kvlog.Log) booking.Log { return log }

// attemptResult is the result that the caller of one attempt received.
type attemptResult struct {
	key    string
	answer call.Answer
	err    error
	sender *sender
	// crashed reports that the entry ended first, so that the caller received no result.
	crashed bool
}

// exploration is the violated property, empty for none, and the number of attempts by outcome.
type exploration struct {
	violation                    string
	answered, refused, uncertain int
}

// explore runs the schedule in virtual time.
func explore(t *testing.T, plan schedule, variant variant) (found exploration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store, target := fakekv.NewMemory(), newService()
		target.byKey = plan.byKey
		var crashed []*atomic.Bool
		var ledgers []*booking.Ledger
		var running sync.WaitGroup
		for index := range plan.entries {
			link, hasCrashed := store.Connect(2*time.Millisecond), new(atomic.Bool)
			link.InjectRandomFaults(plan.seed+uint64(index), plan.faultRate)
			crashed = append(crashed, hasCrashed)
			settings := exploreSettings(fmt.Sprintf("entry%d", index))
			ledger := booking.New(settings, nil, func(int) booking.Log { return variant.wrap(link, kvlog.New(link, "b")) })
			ledgers = append(ledgers, ledger)
			running.Go(func() { _ = ledger.Run(ctx) })
			if crashTime := plan.crashes[index]; crashTime > 2*time.Second {
				time.AfterFunc(crashTime, func() {
					hasCrashed.Store(true)
					link.Kill()
				})
			}
			if outageTime := plan.outages[index]; outageTime > time.Second {
				time.AfterFunc(outageTime, func() { link.SetOut(true) })
				time.AfterFunc(outageTime+5*time.Second, func() { link.SetOut(false) })
			}
		}
		results := make(chan attemptResult, 100)
		for number, entries := range plan.entryOrder {
			running.Go(func() {
				key := fmt.Sprintf("key%d", number)
				for turn, entry := range entries {
					sender := &sender{
						service: target, key: key, faultRate: plan.faultRate, crashed: crashed[entry], hasStatus: plan.hasStatus,
						random: rand.New(rand.NewPCG(plan.seed, uint64(100*number+turn+10))),
					}
					order := booking.Order{
						Key: decide.Key{Account: "a", IdempotencyKey: key}, BodyHash: "body", ByKey: plan.byKey || variant.byKey,
						Deadline: time.Now().Add(time.Duration(1+turn*10) * time.Second),
					}
					running.Go(func() {
						answer, err := ledgers[entry].Execute(context.Background(), order, sender)
						results <- attemptResult{key: key, answer: answer, err: err, sender: sender, crashed: crashed[entry].Load()}
					})
					sleep(plan.gap)
				}
			})
		}
		// An order after the retention makes each entry truncate the log while other writers are still paused.
		difference := ""
		if plan.comparesReaders {
			early := startReader(ctx, &running, store, "early")
			difference = early.follow(len(plan.entryOrder), func() *reader { return startReader(ctx, &running, store, "late") })
		}
		sleep(3 * time.Minute)
		for _, ledger := range ledgers {
			running.Go(func() {
				key := decide.Key{Account: "a", IdempotencyKey: "later"}
				order := booking.Order{Key: key, ByKey: true, Deadline: time.Now().Add(time.Minute)}
				_, _ = ledger.Execute(context.Background(), order, &sender{service: newService(), random: rand.New(rand.NewPCG(1, 1)), crashed: new(atomic.Bool)})
			})
		}
		sleep(7 * time.Minute)
		cancel()
		running.Wait()
		// Variants with a removed rule leave appends in progress.
		sleep(10 * time.Minute)
		close(results)
		found = checkProperties(results, target)
		if found.violation == "" {
			found.violation = difference
		}
	})
	return found
}

// checkProperties checks all attempts: a key runs at most once, all its answers are
// equal, and no attempt that ran is reported as not run.
func checkProperties(results <-chan attemptResult, target *service) (found exploration) {
	runs := target.runs.Load()
	fail := func(format string, args ...any) { found.violation = fmt.Sprintf(format, args...) }
	for key, count := range runs {
		if count > 1 {
			fail("%s ran %d times", key, count)
		}
	}
	answers := map[string]call.Answer{}
	mayHaveRun := map[string]bool{}
	for result := range results {
		mayHaveRun[result.key] = mayHaveRun[result.key] || result.crashed || !notRun(result.err)
		switch {
		case result.crashed:
		case notRun(result.err):
			found.refused++
			if result.sender.ran.Load() {
				fail("%s: an attempt that ran was reported as not run: %v", result.key, result.err)
			}
		case result.err != nil:
			found.uncertain++
		default:
			found.answered++
			if earlier, ok := answers[result.key]; ok && !bytes.Equal(earlier.Body, result.answer.Body) {
				fail("%s: different answers %q and %q", result.key, earlier.Body, result.answer.Body)
			}
			answers[result.key] = result.answer
			if runs[result.key] == 0 {
				fail("%s: an answer without a run", result.key)
			}
		}
	}
	for key, mayHaveRun := range mayHaveRun {
		if !mayHaveRun && runs[key] > 0 {
			fail("%s ran although every attempt was reported as not run", key)
		}
	}
	return found
}

// notRun reports whether an error promises that the order did not run.
func notRun(err error) bool {
	var refusal *call.Refusal
	var failure *call.Failure
	return errors.As(err, &refusal) || errors.As(err, &failure) && failure.Ran == call.RanNo
}

// Guards against orders that run twice, answers that differ, and false reports that an order did
// not run. The schedules draw pauses, crashes, lost and duplicate deliveries, outages, and several
// entries that execute the same key.
func TestProtocolHoldsUnderExploration(t *testing.T) {
	var total exploration
	rapid.Check(t, func(r *rapid.T) {
		found := explore(t, drawSchedule(r), variant{wrap: unmodifiedLog})
		if found.violation != "" {
			r.Fatal(found.violation)
		}
		total.answered += found.answered
		total.refused += found.refused
		total.uncertain += found.uncertain
	})
	t.Logf("answered %d, refused %d, uncertain %d", total.answered, total.refused, total.uncertain)
	assert.Greater(t, min(total.answered, total.refused, total.uncertain), 10, "the schedules reach each outcome often enough")
}

// earlyAppender reports a log entry as committed before it is.
type earlyAppender struct{ *kvlog.Log }

func (log earlyAppender) Append(_ context.Context, entry kvlog.Entry) error {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = log.Log.Append(ctx, entry)
	}()
	return nil
}

// optimisticAppender treats a write whose answer was lost as committed.
type optimisticAppender struct{ *kvlog.Log }

func (log optimisticAppender) Append(ctx context.Context, entry kvlog.Entry) error {
	err := log.Log.Append(ctx, entry)
	var uncertain *kvlog.UncertainError
	if errors.As(err, &uncertain) {
		return nil
	}
	return err
}

// overwritingStore overwrites a key even if its revision is not the expected one.
type overwritingStore struct{ kvlog.Store }

func (store overwritingStore) Put(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	written, err := store.Store.Put(ctx, key, value, revision)
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return store.Store.Put(ctx, key, value, conflict.Current.Revision)
	}
	return written, err
}

// scheduleLimit bounds the search for a violation. The rarest violation occurs in about one of 200 schedules.
const scheduleLimit = 5000

// Guards against schedules that are too weak to expose a fault in the protocol: for each variant
// with one rule removed, the exploration has to find a violation.
func TestExplorationFindsRemovedRules(t *testing.T) {
	cases := []struct {
		name    string
		variant variant
	}{
		{"dispatch before commit", variant{wrap: func(_ kvlog.Store, log *kvlog.Log) booking.Log { return earlyAppender{log} }}},
		{"lost answer treated as committed", variant{wrap: func(_ kvlog.Store, log *kvlog.Log) booking.Log { return optimisticAppender{log} }}},
		{"no compare-and-swap", variant{wrap: func(store kvlog.Store, _ *kvlog.Log) booking.Log {
			return kvlog.New(overwritingStore{store}, "b")
		}}},
		{"sent again although the service does not deduplicate", variant{byKey: true, wrap: unmodifiedLog}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			generator := rapid.Custom(drawSchedule)
			violation, tried := "", 0
			for ; tried < scheduleLimit && violation == ""; tried++ {
				plan := generator.Example(tried)
				plan.comparesReaders = false
				violation = explore(t, plan, c.variant).violation
			}
			t.Logf("schedule %d: %s", tried, violation)
			assert.NotEmpty(t, violation)
		})
	}
}

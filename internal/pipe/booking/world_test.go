package booking_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// scriptedPause is how long a scripted pause or late delivery takes.
const scriptedPause = 20 * time.Second

// table is the data of the store in virtual time, sorted by key.
type table struct {
	revision int64
	items    []kv.Item
}

func (table table) find(key string) (int, bool) {
	return slices.BinarySearchFunc(table.items, key, func(item kv.Item, key string) int { return strings.Compare(item.Key, key) })
}

// link is one process's connection to the store, with faults drawn from its own random source.
type link struct {
	store  *rcu.Cell[table]
	lock   sync.Mutex // guards random, since a broken variant may append from several goroutines
	random *rand.Rand
	// script lists the faults of the next calls, before those drawn.
	script []string
	// chaos is the chance of a fault in each call.
	chaos   float64
	latency time.Duration
	dead    atomic.Bool
	out     atomic.Bool
	writes  atomic.Int64
}

// reach makes a call with a drawn fault: a pause, a request or an answer lost, or a late or repeated delivery.
//
// Only writes are delivered late or twice, since a read's answer has one reader.
func (link *link) reach(ctx context.Context, write bool, effect func()) error {
	apply := func() {
		if !link.dead.Load() {
			effect()
		}
	}
	lost := &kv.OutError{Sent: true, Cause: context.DeadlineExceeded}
	if link.out.Load() || link.dead.Load() {
		return lost
	}
	fault, long := link.draw(write)
	rest(link.latency)
	switch fault {
	case "pause before":
		rest(long)
	case "request lost":
		return lost
	case "late":
		time.AfterFunc(long, effect)
		return lost
	case "twice":
		time.AfterFunc(long, effect)
	}
	apply()
	if fault == "pause after" {
		rest(long)
	}
	if fault == "answer lost" || link.dead.Load() || ctx.Err() != nil {
		return lost
	}
	return nil
}

func (link *link) draw(write bool) (fault string, long time.Duration) {
	link.lock.Lock()
	defer link.lock.Unlock()
	faults := []string{"pause before", "pause after", "request lost", "answer lost"}
	if write {
		faults = append(faults, "late", "twice")
	}
	if len(link.script) > 0 {
		fault, link.script = link.script[0], link.script[1:]
		return fault, scriptedPause
	}
	if link.random == nil {
		return "", 0
	}
	if link.random.Float64() < link.chaos {
		fault = faults[link.random.IntN(len(faults))]
	}
	return fault, time.Duration(1+link.random.IntN(20)) * time.Second
}

// rest lets virtual time pass.
func rest(duration time.Duration) { <-time.After(duration) }

func (link *link) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	page, err := link.Range(ctx, key, "", 1)
	if err != nil || len(page.Items) == 0 || page.Items[0].Key != key {
		return kv.Item{}, false, err
	}
	return page.Items[0], true, nil
}

func (link *link) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	var page kv.Page
	err := link.reach(ctx, false, func() {
		table := link.store.Load()
		page = kv.Page{Revision: table.revision}
		for _, item := range table.items {
			if !strings.HasPrefix(item.Key, prefix) || item.Key < from {
				continue
			}
			if page.More = limit > 0 && len(page.Items) == limit; page.More {
				break
			}
			page.Items = append(page.Items, item)
		}
	})
	return page, err
}

func (link *link) Put(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	type outcome struct {
		revision int64
		conflict *kv.ConflictError
	}
	results := make(chan outcome, 2)
	err := link.reach(ctx, true, func() {
		_, result := rcu.Apply(link.store, func(current table) (table, outcome) {
			at, found := current.find(key)
			if found && current.items[at].Revision != revision || !found && revision != 0 {
				conflict := &kv.ConflictError{Key: key, Found: found}
				if found {
					conflict.Current = current.items[at]
				}
				return current, outcome{conflict: conflict}
			}
			item := kv.Item{Key: key, Value: value, Revision: current.revision + 1}
			items := slices.Clone(current.items)
			if found {
				items[at] = item
			} else {
				items = slices.Insert(items, at, item)
			}
			return table{revision: item.Revision, items: items}, outcome{revision: item.Revision}
		})
		link.writes.Add(1)
		results <- result
	})
	if err != nil {
		return 0, err
	}
	result := <-results
	if result.conflict != nil {
		return 0, result.conflict
	}
	return result.revision, nil
}

func (link *link) Delete(ctx context.Context, from, end string) error {
	return link.reach(ctx, true, func() {
		link.store.Update(func(current table) table {
			current.items = slices.DeleteFunc(slices.Clone(current.items), func(item kv.Item) bool {
				return item.Key == from || end != "" && item.Key >= from && item.Key < end
			})
			current.revision++
			return current
		})
	})
}

func (link *link) Watch(context.Context, string, int64, func(kv.Event) error) error { return nil }

// service is a plain service that counts how often each key ran.
type service struct {
	runs *rcu.Cell[map[string]int]
	// byKey makes it drop repeats of a key and answer as the first time.
	byKey bool
}

func newService() *service { return &service{runs: rcu.New(map[string]int{})} }

func (service *service) run(key string) call.Answer {
	next := service.runs.Update(func(current map[string]int) map[string]int {
		if service.byKey && current[key] > 0 {
			return current
		}
		counted := map[string]int{key: 1}
		for other, count := range current {
			counted[other] += count
		}
		return counted
	})
	return service.answer(key, next[key])
}

func (service *service) answer(key string, run int) call.Answer {
	return call.Answer{Status: 201, ContentType: "text/plain", Body: fmt.Appendf(nil, "%s run %d", key, run)}
}

// sender is the way of one attempt to the service, with faults of its own.
type sender struct {
	service *service
	key     string
	random  *rand.Rand
	chaos   float64
	dead    *atomic.Bool
	// status is what the service says of a key that ran.
	hasStatus bool
	// ran is set once this attempt took effect.
	ran atomic.Bool
}

func (sender *sender) Send(context.Context) (call.Answer, error) {
	failure := &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: "dispatch"}
	fault := -1
	if sender.random.Float64() < sender.chaos {
		fault = sender.random.IntN(4)
	}
	rest(time.Duration(1+sender.random.IntN(50)) * time.Millisecond)
	switch fault {
	case 0: // refused connection
		failure.Ran = call.RanNot
		return call.Answer{}, failure
	case 1: // request lost
		return call.Answer{}, failure
	case 2: // paused before sending, possibly past a takeover
		rest(time.Duration(1+sender.random.IntN(60)) * time.Second)
	}
	if sender.dead.Load() {
		return call.Answer{}, failure
	}
	sender.ran.Store(true)
	answer := sender.service.run(sender.key)
	rest(time.Duration(1+sender.random.IntN(50)) * time.Millisecond)
	if fault == 3 {
		return call.Answer{}, failure
	}
	return answer, nil
}

func (sender *sender) Status(context.Context) (booking.Status, error) {
	if !sender.hasStatus {
		return booking.Status{State: booking.StatusNone}, nil
	}
	if run := sender.service.runs.Load()[sender.key]; run > 0 {
		return booking.Status{State: booking.StatusDone, Answer: sender.service.answer(sender.key, 1)}, nil
	}
	return booking.Status{State: booking.StatusOpen}, nil
}

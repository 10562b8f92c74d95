package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// The entries of the model, which send the same call to the same servers and exchange their reports.
const (
	crashEntries  = 4
	crashServers  = 4
	crashExchange = 250 * time.Millisecond
	crashReports  = 32
)

// playSameCall plays a minute in which callers send the same call every 5 ms to one of the entries, and an entry restarts
// every 3 s. Crashed reports whether a server seems to crash during a call. It returns the longest time for which an entry
// refused every call, and the number of calls that reached a server.
func playSameCall(seed uint64, crashed func(random *rand.Rand) bool) (longest time.Duration, reached int) {
	random := rand.New(rand.NewPCG(seed, 0))
	var entries [crashEntries]*forward.Crashes
	var refusesSince [crashEntries]time.Time
	for i := range entries {
		entries[i] = forward.NewCrashes()
	}
	for step := range int(time.Minute / (5 * time.Millisecond)) {
		elapsed := time.Duration(step) * 5 * time.Millisecond
		if elapsed%(3*time.Second) == 0 {
			entries[random.IntN(crashEntries)] = forward.NewCrashes()
		}
		if elapsed%crashExchange == 0 {
			exchangeReports(entries[:])
		}
		index := random.IntN(crashEntries)
		before := reached
		sameCall(entries[index], func(exchange request.Exchange) error {
			reached++
			if !crashed(random) {
				return nil
			}
			entries[index].Record(exchange.WithTarget(directory.Server{ID: fmt.Sprint("s", random.IntN(crashServers))}))
			return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}
		})
		switch {
		case reached > before:
			refusesSince[index] = time.Time{}
		case refusesSince[index].IsZero():
			refusesSince[index] = time.Now()
		default:
			longest = max(longest, time.Since(refusesSince[index]))
		}
		time.Sleep(5 * time.Millisecond)
	}
	return longest, reached
}

// exchangeReports gives the reports of each entry to the others.
func exchangeReports(entries []*forward.Crashes) {
	for _, from := range entries {
		for _, to := range entries {
			if to != from {
				to.MergeReports(from.Reports(crashReports))
			}
		}
	}
}

// sameCall passes a call through the filter of an entry to handle.
func sameCall(entry *forward.Crashes, handle func(exchange request.Exchange) error) {
	handler := request.Chain(request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		return exchange, handle(exchange)
	}), entry.Filter())
	_, _ = handler.Handle(context.Background(), request.Exchange{Request: call.Request{Account: "desk", Opaque: call.Opaque{Method: "GET", Target: "/stock/1"}}})
}

// Guards against an entry that refuses a popular call for 40 s because its answer was lost three times: an entry that refuses
// the call cannot see it finish, and did not learn that it finishes at the other entries.
func TestCallThatFinishesElsewhereIsNotRefused(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				longest, _ := playSameCall(seed, func(random *rand.Rand) bool { return random.IntN(10) == 0 })
				assert.LessOrEqual(t, longest, 2*crashExchange, "the entry learns of completions with the next exchange")
			})
		})
	}
}

// Guards against reports of completions that let a call that crashes every server reach more of them.
func TestCallThatNeverFinishesIsRefusedAtAllEntries(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				_, reached := playSameCall(seed, func(*rand.Rand) bool { return true })
				assert.LessOrEqual(t, reached, 120) // of 12,000: each entry that starts learns of the crashes with the next exchange
			})
		})
	}
}

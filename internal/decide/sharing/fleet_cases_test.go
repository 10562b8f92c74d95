package sharing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/sharing"
)

// classes are those of six accounts with calls of the priorities 0, 1 and 3.
func classes() []sharing.Class {
	var classes []sharing.Class
	for account := range 6 {
		for _, priority := range []int{0, 1, 3} {
			classes = append(classes, sharing.Class{Account: fmt.Sprint("a", account), Priority: priority})
		}
	}
	return classes
}

const (
	// usualCalls of each class take 0.7 of the slots.
	usualCalls = 10.0
	usualSlots = 103
	// The lack begins once the entries know what is usual, and ends early enough for its calls to be worked off before the end.
	lackFrom  = 12 * time.Second
	lackUntil = 26 * time.Second
	playTime  = 36 * time.Second
)

func during(at time.Duration) bool { return at >= lackFrom && at < lackUntil }

// scenario is a lack of capacity.
type scenario struct {
	name  string
	calls func(class sharing.Class, at time.Duration) float64
	slots func(at time.Duration) int
	// lacksOnlyThen reports that capacity lacks from lackFrom to lackUntil only, and hasExcess that three accounts ask for more
	// than usual then.
	lacksOnlyThen, hasExcess bool
}

func scenarios() []scenario {
	usual := func(sharing.Class, time.Duration) float64 { return usualCalls }
	all := func(time.Duration) int { return usualSlots }
	return []scenario{
		{"servers lost", usual, func(at time.Duration) int {
			if during(at) {
				return usualSlots * 4 / 10
			}
			return usualSlots
		}, true, false},
		{"all servers lost for some seconds", usual, func(at time.Duration) int {
			if at >= lackFrom-4*time.Second && at < lackFrom+2*time.Second {
				return 0
			}
			return usualSlots * 5 / 10
		}, false, false},
		{"a route more than doubles", func(class sharing.Class, at time.Duration) float64 {
			if during(at) && class.Priority == 3 {
				return 3 * usualCalls
			}
			return usualCalls
		}, all, true, false},
		{"three accounts at five times their usual load", func(class sharing.Class, at time.Duration) float64 {
			if during(at) && class.Account < "a3" {
				return 5 * usualCalls
			}
			return usualCalls
		}, all, true, true},
	}
}

func anyClass(sharing.Class) bool { return true }

func ofPriority(priority int) func(sharing.Class) bool {
	return func(class sharing.Class) bool { return class.Priority == priority }
}

func ofAccounts(accounts ...string) func(sharing.Class) bool {
	return func(class sharing.Class) bool { return slices.Contains(accounts, class.Account) }
}

// Guards against a lack of capacity that all calls share alike: those of the highest priority, and of accounts that ask for no
// more than usual, are served first, no account, priority or size is starved, the servers stay busy, and nothing is rejected
// without a lack.
func TestLackOfCapacityIsSharedByPriority(t *testing.T) {
	const floor = 0.25
	// backlogTime is the time in which the calls are worked off that were admitted before the entries knew of the step.
	const backlogTime = 9 * time.Second
	spans := []span{{0, lackFrom}, {lackFrom + 3*time.Second, lackUntil}, {lackUntil + 3*time.Second, playTime - deadline}, {lackFrom + backlogTime, lackUntil}}
	for _, scenario := range scenarios() {
		for _, size := range []struct{ entries, cutOff int }{{1, 0}, {9, 0}, {86, 0}, {86, 9}} {
			t.Run(fmt.Sprintf("%s, %d entries, %d cut off", scenario.name, size.entries, size.cutOff), func(t *testing.T) {
				fleet := fleet{entries: size.entries, classes: classes(), calls: scenario.calls, slots: scenario.slots, cutOff: size.cutOff}
				found := fleet.run(1, playTime, spans...)
				fleet.unlimited = true
				alike := fleet.run(1, playTime, spans...)[1]
				lack, all := found[1], found[1].sum(anyClass)
				t.Logf("served %d, without sharing %d", all.served, alike.sum(anyClass).served)
				for _, priority := range []int{0, 1, 3} {
					t.Logf("priority %d: %.2f, without sharing %.2f", priority, lack.sum(ofPriority(priority)).share(), alike.sum(ofPriority(priority)).share())
				}
				t.Logf("accounts 0 to 2: %.2f, without sharing %.2f; 3 to 5: %.2f, without sharing %.2f",
					lack.sum(ofAccounts("a0", "a1", "a2")).share(), alike.sum(ofAccounts("a0", "a1", "a2")).share(),
					lack.sum(ofAccounts("a3", "a4", "a5")).share(), alike.sum(ofAccounts("a3", "a4", "a5")).share())
				t.Logf("the largest tenth: %.2f of %.2f", float64(all.largeServed)/float64(all.largeAsked), all.share())

				for _, class := range classes() {
					assert.GreaterOrEqual(t, lack.sum(ofAccounts(class.Account)).share(), floor*all.share(), "account %s", class.Account)
					assert.GreaterOrEqual(t, lack.sum(ofPriority(class.Priority)).share(), floor*all.share(), "priority %d", class.Priority)
				}
				assert.GreaterOrEqual(t, float64(all.largeServed)/float64(all.largeAsked), all.share()/2, "the largest tenth")
				for _, priority := range []int{1, 3} {
					assert.GreaterOrEqual(t, lack.sum(ofPriority(0)).share(), lack.sum(ofPriority(priority)).share(), "priority %d", priority)
				}
				assert.Greater(t, float64(all.served), 0.75*float64(alike.sum(anyClass).served), "the servers stay busy")
				if scenario.lacksOnlyThen {
					assert.Zero(t, found[0].sum(anyClass).rejected, "before the lack")
					assert.Zero(t, found[2].sum(anyClass).rejected, "after the lack")
				}
				if scenario.hasExcess {
					assert.Greater(t, lack.sum(ofAccounts("a3", "a4", "a5")).share(), lack.sum(ofAccounts("a0", "a1", "a2")).share())
				}
				if scenario.hasExcess && size.cutOff == 0 {
					assert.Greater(t, found[3].sum(ofAccounts("a3", "a4", "a5")).share(), 0.8, "accounts without an excess")
				}
			})
		}
	}
}

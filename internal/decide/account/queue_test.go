package account_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fill returns a queue in which perClass tickets of each class wait for each account.
func fill(weights map[string]int, perClass int) account.Queue {
	queue := account.Queue{}
	id := uint64(0)
	for name, weight := range weights {
		for range perClass {
			for _, class := range []call.Class{call.ClassLong, call.ClassShort} {
				id++
				queue = queue.WithTicket(account.Ticket{ID: id, Account: name, Weight: weight, Class: class, Cost: 10}, start)
			}
		}
	}
	return queue
}

// drain grants count slots one at a time, ends the work at once, and returns the tickets in the order of the grants.
func drain(queue account.Queue, count int) []account.Ticket {
	var order []account.Ticket
	singleSlot := account.NewCapacity(1, account.Partition{Entries: 1}, 0)
	singleSlot.MaxBorrowed = 0
	for range count {
		next, grants := queue.WithGrants(singleSlot, start)
		for _, grant := range grants {
			order = append(order, grant.Ticket)
			next = next.WithEnd(grant.Ticket, account.Outcome{Class: grant.Ticket.Class, Charged: grant.Ticket.Cost, Tokens: grant.Ticket.Cost}, start)
		}
		queue = next
	}
	return order
}

// Guards against long work that starves behind a steady stream of short work, and
// against long work that is granted a slot before LongGrantInterval-1 grants of short work.
func TestLongWorkGetsOneGrantInEachInterval(t *testing.T) {
	order := drain(fill(map[string]int{"desk": 1}, 200), 200)
	for i, ticket := range order {
		wantLong := (i+1)%account.LongGrantInterval == 0
		assert.Equal(t, wantLong, ticket.Class == call.ClassLong, "grant %d", i)
	}
}

// Guards against an account that gets more than its share by weight while others wait.
func TestBackloggedAccountsAreServedByWeight(t *testing.T) {
	served := map[string]int{}
	for _, ticket := range drain(fill(map[string]int{"desk": 3, "fitters": 1}, 200), 200) {
		served[ticket.Account]++
	}
	assert.InDelta(t, 150, served["desk"], 2)
	assert.InDelta(t, 50, served["fitters"], 2)
}

// Guards against entries whose long work together exceeds the cap on a server or in the fleet.
func TestLongSlotsOfAllEntriesKeepToTheCap(t *testing.T) {
	for _, test := range []struct {
		servers, slots, entries int
		meanShort               float64
		wantFleet               int
	}{
		{servers: 12, slots: 16, entries: 8, meanShort: -1, wantFleet: 96},
		{servers: 12, slots: 16, entries: 8, meanShort: 36, wantFleet: 138},
		{servers: 3, slots: 8, entries: 5, meanShort: 23, wantFleet: 3},
		{servers: 12, slots: 16, entries: 8, meanShort: 0, wantFleet: 168},
	} {
		total, perServer := 0, make([]int, test.servers)
		for index := range test.entries {
			capacity := account.NewCapacity(test.servers*test.slots, account.Partition{Entries: test.entries, Index: index}, test.meanShort)
			for server := range test.servers {
				held := 0
				for ok := true; ok; held++ {
					_, ok = capacity.NextLongSlot(server, test.servers, held)
				}
				total += held - 1
				perServer[server] += held - 1
			}
		}
		assert.Equal(t, test.wantFleet, total, test)
		for _, held := range perServer {
			assert.LessOrEqual(t, held, (test.wantFleet+test.servers-1)/test.servers, test)
		}
	}
}

// Guards against work that was expected to be short, runs longer than the boundary, and
// still counts as short and is not charged.
func TestDemotedWorkCountsAsLongAndIsCharged(t *testing.T) {
	capacity := account.NewCapacity(16, account.Partition{Entries: 1}, 8)
	queue := account.Queue{}
	for id, name := range []string{"desk", "fitters"} {
		queue = queue.WithTicket(account.Ticket{ID: uint64(id), Account: name, Weight: 1, Class: call.ClassShort, Cost: 10}, start)
	}
	queue, grants := queue.WithGrants(capacity, start)
	queue = queue.WithDemotion(grants[0].Ticket, 500, start)
	_, long := queue.Running()
	assert.Equal(t, 1, long)
	for id := range uint64(4) {
		name := []string{"desk", "fitters"}[id%2]
		queue = queue.WithTicket(account.Ticket{ID: 10 + id, Account: name, Weight: 1, Class: call.ClassShort, Cost: 10}, start)
	}
	_, grants = queue.WithGrants(capacity, start)
	assert.Equal(t, []string{"fitters", "fitters"}, []string{grants[0].Ticket.Account, grants[1].Ticket.Account})
	queue = queue.WithEnd(account.Ticket{Account: "desk", Class: call.ClassShort}, account.Outcome{Class: call.ClassLong, Charged: 500, Tokens: 600}, start)
	_, long = queue.Running()
	assert.Zero(t, long)
}

// Guards against a class that depends on MaxTokens alone, and against one template's
// history that determines the forecast of another.
func TestEstimatorLearnsTheLengthOfEachTemplate(t *testing.T) {
	request := func(name, prompt string) call.Request {
		return call.Request{Account: name, Service: "assistant", Completion: call.Completion{Prompt: prompt, MaxTokens: 4000}}
	}
	empty := account.Estimator{}
	learned := empty
	for i := range 100 {
		learned = learned.WithAnswer(request("desk", fmt.Sprint("draft ", i, " reply to letter")), 20, time.Second)
		if i%10 == 0 {
			learned = learned.WithAnswer(request("desk", fmt.Sprint("checklist ", i, " for gown")), 600, 12*time.Second)
		}
	}
	assert.Equal(t, call.ClassShort, learned.Forecast(request("desk", "draft 500 reply to order")).Class)
	forecast := learned.Forecast(request("desk", "checklist 500 for veil"))
	assert.Equal(t, call.ClassLong, forecast.Class)
	assert.Equal(t, 600, forecast.Tokens)
	assert.Equal(t, 12*time.Second, forecast.RunTime)
	assert.Equal(t, empty.Forecast(request("desk", "")), account.Estimator{}.Forecast(request("desk", "")), "WithAnswer changed the estimator that it was called on")
	for i := range 5000 {
		learned = learned.WithAnswer(request(fmt.Sprint("account-", i), "x"), 20, time.Second)
		if i%50 == 0 {
			learned = learned.WithAnswer(request("desk", fmt.Sprint("checklist ", i, " for gown")), 600, 12*time.Second)
		}
	}
	assert.Equal(t, call.ClassLong, learned.Forecast(request("desk", "checklist 500 for veil")).Class, "history displaced by prompts that do not recur")
	assert.LessOrEqual(t, learned.HistoryCount(), account.MaxHistories)
}

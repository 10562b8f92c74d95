package account_test

import (
	"fmt"
	"testing"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// BenchmarkEnqueueGrant measures adding, granting and ending a ticket in a queue in which the
// given number of other tickets wait.
func BenchmarkEnqueueGrant(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			queue := account.Queue{}
			capacity := account.NewCapacity(1, account.Partition{Entries: 1}, 0)
			capacity.MaxBorrowed = 0
			enqueue := func(id uint64) {
				queue = queue.WithTicket(account.Ticket{ID: id, Account: fmt.Sprint("account-", id%5), Weight: 1, Class: call.ClassShort, Cost: 10}, start)
			}
			for id := range waiting {
				enqueue(uint64(id))
			}
			b.ReportAllocs()
			rounds := 0
			for b.Loop() {
				rounds++
				enqueue(uint64(waiting + rounds))
				next, grants := queue.WithGrants(capacity, start)
				for _, grant := range grants {
					next = next.WithEnd(grant.Ticket, account.Outcome{Class: call.ClassShort, Charged: 10, Tokens: 10}, start)
				}
				queue = next
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(rounds), "ns/enqueue+grant+end")
		})
	}
}

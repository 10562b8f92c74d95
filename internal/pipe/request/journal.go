package request

import (
	"sync/atomic"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// RecentResults keeps the most recent results, so that operators can read how each request was decided.
type RecentResults struct {
	next  atomic.Uint64
	slots []atomic.Pointer[Result]
}

// NewRecentResults returns a journal of the given number of results.
func NewRecentResults(size int) *RecentResults {
	return &RecentResults{slots: make([]atomic.Pointer[Result], size)}
}

// Record keeps a result in place of the oldest one.
func (recentResults *RecentResults) Record(result Result) {
	at := recentResults.next.Add(1) - 1
	// The contents of requests and answers are private to the caller, and large.
	result.Exchange.Request.Operation.Body = nil
	result.Exchange.Request.Completion = result.Exchange.Request.Completion.WithoutContent()
	result.Exchange.Answer.Body = nil
	result.Exchange.Sink = nil
	result.Exchange.Request.Opaque = call.Opaque{}
	result.Exchange.Reply = nil
	result.Exchange.View = View{}
	result.InterTokenTimes = nil
	recentResults.slots[at%uint64(len(recentResults.slots))].Store(&result)
}

// Find returns the results of all requests with that id, oldest first.
func (recentResults *RecentResults) Find(id string) []Result {
	var found []Result
	next := recentResults.next.Load()
	for i := range uint64(len(recentResults.slots)) {
		result := recentResults.slots[(next+i)%uint64(len(recentResults.slots))].Load()
		if result != nil && result.Exchange.Request.ID == id {
			found = append(found, *result)
		}
	}
	return found
}

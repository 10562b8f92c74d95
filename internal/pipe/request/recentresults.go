package request

import (
	"sync/atomic"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// RecentResults is a ring buffer of the latest results, from which operators read the
// decisions about a request.
type RecentResults struct {
	// next is the number of results recorded so far.
	next  atomic.Uint64
	slots []atomic.Pointer[Result]
}

// NewRecentResults returns a buffer for size results.
func NewRecentResults(size int) *RecentResults {
	return &RecentResults{slots: make([]atomic.Pointer[Result], size)}
}

// Record stores a result in place of the oldest one.
func (recentResults *RecentResults) Record(result Result) {
	position := recentResults.next.Add(1) - 1
	// The bodies of requests and answers are the caller's private data, and large.
	result.Exchange.Request.Operation.Body = nil
	result.Exchange.Request.Completion = result.Exchange.Request.Completion.WithoutContent()
	result.Exchange.Answer.Body = nil
	result.Exchange.Sink = nil
	result.Exchange.Request.Opaque = call.Opaque{}
	result.Exchange.Reply = nil
	result.Exchange.View = View{}
	result.InterTokenTimes = nil
	recentResults.slots[position%uint64(len(recentResults.slots))].Store(&result)
}

// Find returns the stored results of the requests with that id, oldest first.
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

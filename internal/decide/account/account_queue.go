package account

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// LongGrantInterval bounds in grants how long short work can delay long work of the same
// account. While long work waits and a slot for long work is free, at least one of any
// 16 consecutive grants of the account goes to long work.
const LongGrantInterval = 16

// idleTimeout is how long an account without work still counts in the allocation of
// slots, so that other accounts do not take its share in a pause between two requests.
const idleTimeout = 5 * time.Second

// accountQueue is the waiting and running work of one client account in a [Queue].
type accountQueue struct {
	account string
	weight  float64
	// virtualTime is the service that the account has received, in tokens per unit of weight.
	virtualTime float64
	short, long ticketFIFO
	// shortGrants counts the grants to short work since long work began to wait.
	shortGrants          int
	running, runningLong int
	// meanRunningShort is the mean number of running short requests, averaged over usageWindow.
	meanRunningShort average
	// backlogShare is the fraction of the time in which short work waited, averaged over backlogWindow.
	backlogShare average
	lastActive   time.Time
}

func (accountQueue accountQueue) waiting() int {
	return accountQueue.short.length + accountQueue.long.length
}

// isIdle reports whether the account has had no work for longer than idleTimeout.
func (accountQueue accountQueue) isIdle(now time.Time) bool {
	return accountQueue.waiting() == 0 && accountQueue.running == 0 && now.Sub(accountQueue.lastActive) > idleTimeout
}

// withMeans returns the queue with its averages updated to now.
func (accountQueue accountQueue) withMeans(now time.Time) accountQueue {
	shortWaiting := 0.0
	if accountQueue.short.length > 0 {
		shortWaiting = 1
	}
	accountQueue.meanRunningShort = accountQueue.meanRunningShort.with(float64(accountQueue.runningShort()), now, usageWindow)
	accountQueue.backlogShare = accountQueue.backlogShare.with(shortWaiting, now, backlogWindow)
	return accountQueue
}

func (accountQueue accountQueue) withTicket(ticket Ticket) accountQueue {
	if ticket.Class == call.ClassLong {
		accountQueue.long = accountQueue.long.with(ticket)
	} else {
		accountQueue.short = accountQueue.short.with(ticket)
	}
	return accountQueue
}

// expectedRunningShort returns the mean number of running short requests, or the current number until
// enough time was observed for a mean.
func (accountQueue accountQueue) expectedRunningShort() float64 {
	mean, enough := accountQueue.meanRunningShort.observed(minObservedWeight)
	if !enough {
		return float64(accountQueue.runningShort())
	}
	return mean
}

func (accountQueue accountQueue) runningShort() int {
	return accountQueue.running - accountQueue.runningLong
}

// backlogged reports whether short work has waited for more than backlogThreshold of the time in
// backlogWindow.
func (accountQueue accountQueue) backlogged() bool {
	return accountQueue.backlogShare.mean > backlogThreshold
}

// nextClass returns the class of the work that the account's next grant goes to, or
// false if no waiting work may be granted a slot. ShortRoom and longRoom report whether
// short and long work may be granted one.
func (accountQueue accountQueue) nextClass(shortRoom, longRoom bool) (call.Class, bool) {
	short, long := shortRoom && accountQueue.short.length > 0, longRoom && accountQueue.long.length > 0
	switch {
	case long && (!short || accountQueue.shortGrants >= LongGrantInterval-1):
		return call.ClassLong, true
	case short:
		return call.ClassShort, true
	default:
		return "", false
	}
}

// withGrant returns the queue after its first ticket of the given class was granted a slot, and that ticket.
func (accountQueue accountQueue) withGrant(class call.Class) (accountQueue, Ticket) {
	var ticket Ticket
	if class == call.ClassLong {
		accountQueue.long, ticket = accountQueue.long.withoutFirst()
		accountQueue.runningLong++
		accountQueue.shortGrants = 0
	} else {
		accountQueue.short, ticket = accountQueue.short.withoutFirst()
		if accountQueue.long.length > 0 {
			accountQueue.shortGrants++
		}
	}
	accountQueue.running++
	return accountQueue.withCharge(ticket.Cost), ticket
}

// withCharge returns the queue with its virtual time advanced by the cost of the given number of tokens.
func (accountQueue accountQueue) withCharge(tokens int) accountQueue {
	accountQueue.virtualTime += float64(tokens) / accountQueue.weight
	return accountQueue
}

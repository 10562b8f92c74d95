package account

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// LongTurn is the bound on waiting between classes, in grants: while an account's
// long work waits and a slot for long work is free, at least one of any LongTurn
// consecutive grants of that account goes to long work.
const LongTurn = 16

// idleTimeout is how long an account without work still counts in the division of
// slots, so that a pause between two requests does not lend out its share.
const idleTimeout = 5 * time.Second

// accountQueue is the work of one client account at a queue.
type accountQueue struct {
	account string
	weight  float64
	// virtualTime is the virtual time up to which the account has been served, in tokens per unit of weight.
	virtualTime         float64
	short, long ticketFIFO
	// shortGrants counts the grants to short work since long work began to wait.
	shortGrants             int
	running, runningLong int
	// meanRunningShort is the mean number of short requests that run, over the last seconds.
	meanRunningShort average
	// backlogShare is the part of the last second in which short work waited.
	backlogShare average
	lastActive    time.Time
}

func (lane accountQueue) waiting() int { return lane.short.length + lane.long.length }

func (lane accountQueue) isIdle(now time.Time) bool {
	return lane.waiting() == 0 && lane.running == 0 && now.Sub(lane.lastActive) > idleTimeout
}

func (lane accountQueue) withMeans(now time.Time) accountQueue {
	waits := 0.0
	if lane.short.length > 0 {
		waits = 1
	}
	lane.meanRunningShort = lane.meanRunningShort.with(float64(lane.runningShort()), now, usageWindow)
	lane.backlogShare = lane.backlogShare.with(waits, now, backlogWindow)
	return lane
}

func (lane accountQueue) withTicket(ticket Ticket) accountQueue {
	if ticket.Class == call.ClassLong {
		lane.long = lane.long.with(ticket)
	} else {
		lane.short = lane.short.with(ticket)
	}
	return lane
}

// meanShort returns the mean number of short requests that run, or the current number while too little was observed.
func (lane accountQueue) meanShort() float64 {
	mean, known := lane.meanRunningShort.observed(minObservedWeight)
	if !known {
		return float64(lane.runningShort())
	}
	return mean
}

func (lane accountQueue) runningShort() int { return lane.running - lane.runningLong }

// backlogged reports whether short work has waited for some time.
func (lane accountQueue) backlogged() bool { return lane.backlogShare.mean > backlogThreshold }

// nextClass returns the class that the account's next grant goes to, or false when none may be granted.
func (lane accountQueue) nextClass(shortRoom, longRoom bool) (call.Class, bool) {
	short, long := shortRoom && lane.short.length > 0, longRoom && lane.long.length > 0
	switch {
	case long && (!short || lane.shortGrants >= LongTurn-1):
		return call.ClassLong, true
	case short:
		return call.ClassShort, true
	default:
		return "", false
	}
}

// withGrant returns the lane after its first ticket of a class got a slot, and the ticket.
func (lane accountQueue) withGrant(class call.Class) (accountQueue, Ticket) {
	var ticket Ticket
	if class == call.ClassLong {
		lane.long, ticket = lane.long.withoutFirst()
		lane.runningLong++
		lane.shortGrants = 0
	} else {
		lane.short, ticket = lane.short.withoutFirst()
		if lane.long.length > 0 {
			lane.shortGrants++
		}
	}
	lane.running++
	return lane.withCharge(ticket.Cost), ticket
}

func (lane accountQueue) withCharge(tokens int) accountQueue {
	lane.virtualTime += float64(tokens) / lane.weight
	return lane
}

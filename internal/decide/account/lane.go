package account

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// LongGrantInterval is the bound on waiting between classes, in grants: while an account's
// long work waits and a slot for long work is free, at least one of any LongTurn
// consecutive grants of that account goes to long work.
const LongGrantInterval = 16

// laneIdle is how long an account without work still counts in the division of
// slots, so that a pause between two requests does not lend out its share.
const laneIdle = 5 * time.Second

// lane is the work of one client account at a queue.
type lane struct {
	account string
	weight  float64
	// tag is the virtual time up to which the account has been served, in tokens per unit of weight.
	tag         float64
	short, long line
	// shortRun counts the grants to short work since long work began to wait.
	shortRun             int
	running, runningLong int
	// usage is the mean number of short requests that run, over the last seconds.
	usage average
	// backlog is the part of the last second in which short work waited.
	backlog average
	seen    time.Time
}

func (lane lane) waiting() int { return lane.short.length + lane.long.length }

func (lane lane) idle(now time.Time) bool {
	return lane.waiting() == 0 && lane.running == 0 && now.Sub(lane.seen) > laneIdle
}

func (lane lane) withMeans(now time.Time) lane {
	waits := 0.0
	if lane.short.length > 0 {
		waits = 1
	}
	lane.usage = lane.usage.with(float64(lane.runningShort()), now, usageWindow)
	lane.backlog = lane.backlog.with(waits, now, backlogWindow)
	return lane
}

func (lane lane) withTicket(ticket Ticket) lane {
	if ticket.Class == call.ClassLong {
		lane.long = lane.long.with(ticket)
	} else {
		lane.short = lane.short.with(ticket)
	}
	return lane
}

// meanShort returns the mean number of short requests that run, or the current number while too little was observed.
func (lane lane) meanShort() float64 {
	mean, known := lane.usage.observed(leastMix)
	if !known {
		return float64(lane.runningShort())
	}
	return mean
}

func (lane lane) runningShort() int { return lane.running - lane.runningLong }

// backlogged reports whether short work has waited for some time.
func (lane lane) backlogged() bool { return lane.backlog.mean > leastBacklog }

// next returns the class that the account's next grant goes to, or false when none may be granted.
func (lane lane) next(shortRoom, longRoom bool) (call.Class, bool) {
	short, long := shortRoom && lane.short.length > 0, longRoom && lane.long.length > 0
	switch {
	case long && (!short || lane.shortRun >= LongGrantInterval-1):
		return call.ClassLong, true
	case short:
		return call.ClassShort, true
	default:
		return "", false
	}
}

// withGrant returns the lane after its first ticket of a class got a slot, and the ticket.
func (lane lane) withGrant(class call.Class) (lane, Ticket) {
	var ticket Ticket
	if class == call.ClassLong {
		lane.long, ticket = lane.long.withoutFirst()
		lane.runningLong++
		lane.shortRun = 0
	} else {
		lane.short, ticket = lane.short.withoutFirst()
		if lane.long.length > 0 {
			lane.shortRun++
		}
	}
	lane.running++
	return lane.withCharge(ticket.Cost), ticket
}

func (lane lane) withCharge(tokens int) lane {
	lane.tag += float64(tokens) / lane.weight
	return lane
}

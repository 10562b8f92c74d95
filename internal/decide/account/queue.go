package account

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

const (
	// mixWindow is the time over which the slots used by short work are averaged.
	mixWindow = 20 * time.Second
	// leastMix is the part of that window to observe before the mean is used.
	leastMix = 0.1
	// usageWindow is the time over which an account's slots are averaged.
	usageWindow = 5 * time.Second
	// backlogWindow is the time over which a backlog is averaged; a burst that is served
	// within a third of it is no reason to hold an account back.
	backlogWindow = time.Second
	// leastBacklog is the part of that window with a backlog that marks sustained excess;
	// with 0.5 the excess holds the slots twice as long before it is held back.
	leastBacklog = 0.3
	// paceWeight is the weight of the newest answer in the mean time per token; about
	// the last 20 answers count.
	paceWeight = 0.1
	// maxCredit bounds in tokens how far an account falls behind while its long work
	// waits for a long slot, since it takes all slots until it has caught up.
	maxCredit = 1024
)

// Queue is the work that waits and runs at one entry for one set of backend servers.
//
// Between accounts it is start-time fair queueing by tokens: each account has a
// virtual time that advances by cost over weight, and the account furthest behind
// is served first.
type Queue struct {
	lanes   []*lane // by account name
	waiting int
	running int
	long    int
	virtual float64
	short   average // slots used by short work
	pace    float64 // seconds per token of the answers that ended, 0 until one did
}

// Waiting returns the number of tickets without a slot.
func (queue Queue) Waiting() int { return queue.waiting }

// Running returns the number of tickets that hold a slot, and how many of them are long.
func (queue Queue) Running() (all, long int) { return queue.running, queue.long }

// WaitingOf returns the number of an account's tickets without a slot.
func (queue Queue) WaitingOf(account string) int {
	at, found := queue.find(account)
	if !found {
		return 0
	}
	return queue.lanes[at].waiting()
}

// MeanShortSlots returns the mean number of slots that short work uses, negative until it is known.
func (queue Queue) MeanShortSlots() float64 {
	mean, known := queue.short.observed(leastMix)
	if !known {
		return -1
	}
	return mean
}

// WithTicket returns the queue with one more ticket waiting.
func (queue Queue) WithTicket(ticket Ticket, now time.Time) Queue {
	queue = queue.at(now)
	queue = queue.withLane(ticket.Account, func(lane lane) lane {
		lane.weight = float64(max(1, ticket.Weight))
		lane.seen = now
		credit := 0.0
		if lane.waiting() > 0 {
			credit = maxCredit / lane.weight
		}
		lane.tag = max(lane.tag, queue.virtual-credit)
		return lane.withTicket(ticket)
	})
	queue.waiting++
	return queue
}

// Without returns the queue without a waiting ticket, and false if the ticket does not wait.
func (queue Queue) Without(ticket Ticket, now time.Time) (Queue, bool) {
	removed := false
	next := queue.at(now).withLane(ticket.Account, func(lane lane) lane {
		if ticket.Class == call.ClassLong {
			lane.long, removed = lane.long.without(ticket.ID)
		} else {
			lane.short, removed = lane.short.without(ticket.ID)
		}
		return lane
	})
	if !removed {
		return queue, false
	}
	next.waiting--
	return next, true
}

// WithDemotion returns the queue after running short work turned out to be long.
func (queue Queue) WithDemotion(ticket Ticket, boundary int, now time.Time) Queue {
	queue = queue.at(now).withLane(ticket.Account, func(lane lane) lane {
		lane.runningLong++
		return lane.withCharge(max(0, boundary-ticket.Cost))
	})
	queue.long++
	return queue
}

// Outcome is how granted work ended.
type Outcome struct {
	// Class is what the work counted as at its end.
	Class call.Class
	// Charged is the length in tokens that its account was charged, and Tokens the
	// length that it turned out to have, which the account pays in the end.
	Charged, Tokens int
	// RunTime is the time from grant to end, 0 when it says nothing about the next work.
	RunTime time.Duration
}

// WithEnd returns the queue after work gave its slot back.
func (queue Queue) WithEnd(ticket Ticket, end Outcome, now time.Time) Queue {
	isLong := end.Class == call.ClassLong
	queue = queue.at(now).withLane(ticket.Account, func(lane lane) lane {
		lane.running--
		if isLong {
			lane.runningLong--
		}
		lane.seen = now
		return lane.withCharge(end.Tokens - end.Charged)
	})
	queue.running--
	if isLong {
		queue.long--
	}
	if end.RunTime > 0 && end.Tokens > 0 {
		pace := end.RunTime.Seconds() / float64(end.Tokens)
		if queue.pace > 0 {
			pace = queue.pace + paceWeight*(pace-queue.pace)
		}
		queue.pace = pace
	}
	return queue
}

// ExpectedWait returns the expected wait of an account's next ticket, 0 until an answer ended.
//
// The slots in use serve the tokens ahead of it at the pace seen so far, divided by
// weight between the accounts that wait.
func (queue Queue) ExpectedWait(account string) time.Duration {
	at, found := queue.find(account)
	if !found {
		return 0
	}
	own := queue.lanes[at]
	weights := 0.0
	for _, lane := range queue.lanes {
		if lane.waiting() > 0 {
			weights += lane.weight
		}
	}
	ahead := float64(own.short.cost + own.long.cost)
	return seconds(ahead * queue.pace / float64(max(1, queue.running)) * weights / own.weight)
}

// at returns the queue with its means brought up to a time.
func (queue Queue) at(now time.Time) Queue {
	queue.short = queue.short.with(float64(queue.running-queue.long), now, mixWindow)
	return queue
}

// withLane returns the queue with one account's lane changed, and without lanes that are idle.
func (queue Queue) withLane(account string, change func(lane) lane) Queue {
	at, found := queue.find(account)
	current := lane{account: account, weight: 1, tag: queue.virtual}
	if found {
		current = *queue.lanes[at]
	}
	now := queue.short.at
	next := change(current.withMeans(now))
	lanes := make([]*lane, 0, len(queue.lanes)+1)
	lanes = append(lanes, queue.lanes[:at]...)
	lanes = append(lanes, &next)
	if found {
		at++
	}
	lanes = append(lanes, queue.lanes[at:]...)
	queue.lanes = slices.DeleteFunc(lanes, func(lane *lane) bool { return lane.idle(now) })
	return queue
}

func (queue Queue) find(account string) (int, bool) {
	return slices.BinarySearchFunc(queue.lanes, account, func(lane *lane, name string) int {
		return strings.Compare(lane.account, name)
	})
}

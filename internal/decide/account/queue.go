package account

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

const (
	// shortSlotsWindow is the time over which the slots used by short work are averaged.
	shortSlotsWindow = 20 * time.Second
	// minObservedWeight is the part of that window to observe before the mean is used.
	minObservedWeight = 0.1
	// usageWindow is the time over which an account's slots are averaged.
	usageWindow = 5 * time.Second
	// backlogWindow is the time over which a backlog is averaged; a burst that is served
	// within a third of it is no reason to hold an account back.
	backlogWindow = time.Second
	// backlogThreshold is the part of that window with a backlog that marks sustained excess;
	// with 0.5 the excess holds the slots twice as long before it is held back.
	backlogThreshold = 0.3
	// secondsPerTokenWeight is the weight of the newest answer in the mean time per token; about
	// the last 20 answers count.
	secondsPerTokenWeight = 0.1
	// maxCreditTokens bounds in tokens how far an account falls behind while its long work
	// waits for a long slot, since it takes all slots until it has caught up.
	maxCreditTokens = 1024
)

// Queue is the work that waits and runs at one entry for one set of backend servers.
//
// Between accounts it is start-time fair queueing by tokens: each account has a
// virtual time that advances by cost over weight, and the account furthest behind
// is served first.
type Queue struct {
	accounts   []*accountQueue // by account name
	waiting int
	running int
	runningLong    int
	virtualTime float64
	shortSlots   average // slots used by short work
	secondsPerToken    float64 // seconds per token of the answers that ended, 0 until one did
}

// Waiting returns the number of tickets without a slot.
func (queue Queue) Waiting() int { return queue.waiting }

// Running returns the number of tickets that hold a slot, and how many of them are long.
func (queue Queue) Running() (all, long int) { return queue.running, queue.runningLong }

// WaitingOf returns the number of an account's tickets without a slot.
func (queue Queue) WaitingOf(account string) int {
	at, found := queue.find(account)
	if !found {
		return 0
	}
	return queue.accounts[at].waiting()
}

// ShortSlots returns the mean number of slots that short work uses, negative until it is known.
func (queue Queue) ShortSlots() float64 {
	mean, known := queue.shortSlots.observed(minObservedWeight)
	if !known {
		return -1
	}
	return mean
}

// WithTicket returns the queue with one more ticket waiting.
func (queue Queue) WithTicket(ticket Ticket, now time.Time) Queue {
	queue = queue.at(now)
	queue = queue.withAccount(ticket.Account, func(lane accountQueue) accountQueue {
		lane.weight = float64(max(1, ticket.Weight))
		lane.lastActive = now
		credit := 0.0
		if lane.waiting() > 0 {
			credit = maxCreditTokens / lane.weight
		}
		lane.virtualTime = max(lane.virtualTime, queue.virtualTime-credit)
		return lane.withTicket(ticket)
	})
	queue.waiting++
	return queue
}

// Without returns the queue without a waiting ticket, and false if the ticket does not wait.
func (queue Queue) Without(ticket Ticket, now time.Time) (Queue, bool) {
	removed := false
	next := queue.at(now).withAccount(ticket.Account, func(lane accountQueue) accountQueue {
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
	queue = queue.at(now).withAccount(ticket.Account, func(lane accountQueue) accountQueue {
		lane.runningLong++
		return lane.withCharge(max(0, boundary-ticket.Cost))
	})
	queue.runningLong++
	return queue
}

// End is how granted work ended.
type End struct {
	// Class is what the work counted as at its end.
	Class call.Class
	// Charged is the length in tokens that its account was charged, and Tokens the
	// length that it turned out to have, which the account pays in the end.
	Charged, Tokens int
	// Took is the time from grant to end, 0 when it says nothing about the next work.
	Took time.Duration
}

// WithEnd returns the queue after work gave its slot back.
func (queue Queue) WithEnd(ticket Ticket, end End, now time.Time) Queue {
	isLong := end.Class == call.ClassLong
	queue = queue.at(now).withAccount(ticket.Account, func(lane accountQueue) accountQueue {
		lane.running--
		if isLong {
			lane.runningLong--
		}
		lane.lastActive = now
		return lane.withCharge(end.Tokens - end.Charged)
	})
	queue.running--
	if isLong {
		queue.runningLong--
	}
	if end.Took > 0 && end.Tokens > 0 {
		pace := end.Took.Seconds() / float64(end.Tokens)
		if queue.secondsPerToken > 0 {
			pace = queue.secondsPerToken + secondsPerTokenWeight*(pace-queue.secondsPerToken)
		}
		queue.secondsPerToken = pace
	}
	return queue
}

// Wait returns the expected wait of an account's next ticket, 0 until an answer ended.
//
// The slots in use serve the tokens ahead of it at the pace seen so far, divided by
// weight between the accounts that wait.
func (queue Queue) Wait(account string) time.Duration {
	at, found := queue.find(account)
	if !found {
		return 0
	}
	own := queue.accounts[at]
	weights := 0.0
	for _, lane := range queue.accounts {
		if lane.waiting() > 0 {
			weights += lane.weight
		}
	}
	ahead := float64(own.short.totalCost + own.long.totalCost)
	return seconds(ahead * queue.secondsPerToken / float64(max(1, queue.running)) * weights / own.weight)
}

// at returns the queue with its means brought up to a time.
func (queue Queue) at(now time.Time) Queue {
	queue.shortSlots = queue.shortSlots.with(float64(queue.running-queue.runningLong), now, shortSlotsWindow)
	return queue
}

// withAccount returns the queue with one account's lane changed, and without lanes that are idle.
func (queue Queue) withAccount(account string, change func(accountQueue) accountQueue) Queue {
	at, found := queue.find(account)
	current := accountQueue{account: account, weight: 1, virtualTime: queue.virtualTime}
	if found {
		current = *queue.accounts[at]
	}
	now := queue.shortSlots.updatedAt
	next := change(current.withMeans(now))
	lanes := make([]*accountQueue, 0, len(queue.accounts)+1)
	lanes = append(lanes, queue.accounts[:at]...)
	lanes = append(lanes, &next)
	if found {
		at++
	}
	lanes = append(lanes, queue.accounts[at:]...)
	queue.accounts = slices.DeleteFunc(lanes, func(lane *accountQueue) bool { return lane.isIdle(now) })
	return queue
}

func (queue Queue) find(account string) (int, bool) {
	return slices.BinarySearchFunc(queue.accounts, account, func(lane *accountQueue, name string) int {
		return strings.Compare(lane.account, name)
	})
}

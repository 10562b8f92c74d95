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
	// minObservedWeight is the weight of the observed values in a mean from which the mean is used.
	minObservedWeight = 0.1
	// usageWindow is the time over which the slots of an account's short work are averaged.
	usageWindow = 5 * time.Second
	// backlogWindow is the time over which a backlog is averaged; an account is not
	// restricted for a burst that is served within a third of it.
	backlogWindow = time.Second
	// backlogThreshold is the fraction of that window with a backlog from which an account
	// counts as backlogged; with 0.5, excess work holds slots twice as long before the
	// account is restricted.
	backlogThreshold = 0.3
	// secondsPerTokenWeight is the weight of the latest answer in the mean time per token,
	// so that about the last 20 answers count.
	secondsPerTokenWeight = 0.1
	// maxCreditTokens bounds how far the virtual time of an account falls behind while its
	// long work waits for a slot, since the account gets all slots until it has caught up.
	maxCreditTokens = 1024
)

// Queue holds the waiting and running work of one entry for one set of backend servers.
//
// Between accounts it does start-time fair queueing by tokens: each account has a
// virtual time that advances by cost over weight, and the account with the lowest
// virtual time is served first.
type Queue struct {
	accounts        []*accountQueue // sorted by account name
	waiting         int
	running         int
	runningLong     int
	virtualTime     float64 // highest virtual time at which an account was granted a slot
	shortSlots      average // slots used by short work
	secondsPerToken float64 // mean over the answers that have ended, 0 until one has
}

// Waiting returns the number of tickets without a slot.
func (queue Queue) Waiting() int { return queue.waiting }

// Running returns the number of tickets that hold a slot, and how many of them are long.
func (queue Queue) Running() (all, long int) { return queue.running, queue.runningLong }

// WaitingOf returns the number of an account's tickets without a slot.
func (queue Queue) WaitingOf(account string) int {
	index, found := queue.find(account)
	if !found {
		return 0
	}
	return queue.accounts[index].waiting()
}

// MeanShortSlots returns the mean number of slots that short work uses, negative until enough time was observed.
func (queue Queue) MeanShortSlots() float64 {
	mean, enough := queue.shortSlots.observed(minObservedWeight)
	if !enough {
		return -1
	}
	return mean
}

// WithTicket returns the queue with one more ticket waiting.
func (queue Queue) WithTicket(ticket Ticket, now time.Time) Queue {
	queue = queue.withTime(now)
	queue = queue.withAccount(ticket.Account, func(accountQueue accountQueue) accountQueue {
		accountQueue.weight = float64(max(1, ticket.Weight))
		accountQueue.lastActive = now
		credit := 0.0
		if accountQueue.waiting() > 0 {
			credit = maxCreditTokens / accountQueue.weight
		}
		accountQueue.virtualTime = max(accountQueue.virtualTime, queue.virtualTime-credit)
		return accountQueue.withTicket(ticket)
	})
	queue.waiting++
	return queue
}

// WithoutTicket returns the queue without a waiting ticket, or the unchanged queue and false if the ticket does not wait.
func (queue Queue) WithoutTicket(ticket Ticket, now time.Time) (Queue, bool) {
	removed := false
	next := queue.withTime(now).withAccount(ticket.Account, func(accountQueue accountQueue) accountQueue {
		if ticket.Class == call.ClassLong {
			accountQueue.long, removed = accountQueue.long.without(ticket.ID)
		} else {
			accountQueue.short, removed = accountQueue.short.without(ticket.ID)
		}
		return accountQueue
	})
	if !removed {
		return queue, false
	}
	next.waiting--
	return next, true
}

// WithDemotion returns the queue after running short work has exceeded the boundary, the
// length in tokens beyond which work is long. The work then counts as long, and its account
// has been charged for the boundary instead of the ticket's cost.
func (queue Queue) WithDemotion(ticket Ticket, boundary int, now time.Time) Queue {
	queue = queue.withTime(now).withAccount(ticket.Account, func(accountQueue accountQueue) accountQueue {
		accountQueue.runningLong++
		return accountQueue.withCharge(max(0, boundary-ticket.Cost))
	})
	queue.runningLong++
	return queue
}

// Outcome describes how granted work ended.
type Outcome struct {
	// Class is the class of the work at its end, after a possible demotion.
	Class call.Class
	// Charged is the length in tokens that the account has been charged so far, and
	// Tokens the actual length; the account is charged for the difference.
	Charged, Tokens int
	// RunTime is the time from the grant to the end, 0 when it must not count in the mean time per token.
	RunTime time.Duration
}

// WithEnd returns the queue after a ticket's work ended and released its slot.
func (queue Queue) WithEnd(ticket Ticket, outcome Outcome, now time.Time) Queue {
	isLong := outcome.Class == call.ClassLong
	queue = queue.withTime(now).withAccount(ticket.Account, func(accountQueue accountQueue) accountQueue {
		accountQueue.running--
		if isLong {
			accountQueue.runningLong--
		}
		accountQueue.lastActive = now
		return accountQueue.withCharge(outcome.Tokens - outcome.Charged)
	})
	queue.running--
	if isLong {
		queue.runningLong--
	}
	if outcome.RunTime > 0 && outcome.Tokens > 0 {
		secondsPerToken := outcome.RunTime.Seconds() / float64(outcome.Tokens)
		if queue.secondsPerToken > 0 {
			secondsPerToken = queue.secondsPerToken + secondsPerTokenWeight*(secondsPerToken-queue.secondsPerToken)
		}
		queue.secondsPerToken = secondsPerToken
	}
	return queue
}

// ExpectedWait returns the expected wait of an account's next ticket, 0 until an answer has ended.
//
// It assumes that the slots in use serve the tokens ahead of the ticket at the mean time
// per token, divided by weight between the accounts with waiting work.
func (queue Queue) ExpectedWait(account string) time.Duration {
	index, found := queue.find(account)
	if !found {
		return 0
	}
	queued := queue.accounts[index]
	weights := 0.0
	for _, accountQueue := range queue.accounts {
		if accountQueue.waiting() > 0 {
			weights += accountQueue.weight
		}
	}
	tokensAhead := float64(queued.short.totalCost + queued.long.totalCost)
	return secondsToDuration(tokensAhead * queue.secondsPerToken / float64(max(1, queue.running)) * weights / queued.weight)
}

// withTime returns the queue with shortSlots updated to now.
func (queue Queue) withTime(now time.Time) Queue {
	queue.shortSlots = queue.shortSlots.with(float64(queue.running-queue.runningLong), now, shortSlotsWindow)
	return queue
}

// withAccount returns the queue with one account's work changed by the function, and without
// idle accounts. The time is that of the last [Queue.withTime].
func (queue Queue) withAccount(account string, change func(accountQueue) accountQueue) Queue {
	index, found := queue.find(account)
	current := accountQueue{account: account, weight: 1, virtualTime: queue.virtualTime}
	if found {
		current = *queue.accounts[index]
	}
	now := queue.shortSlots.updatedAt
	next := change(current.withMeans(now))
	accounts := make([]*accountQueue, 0, len(queue.accounts)+1)
	accounts = append(accounts, queue.accounts[:index]...)
	accounts = append(accounts, &next)
	if found {
		index++
	}
	accounts = append(accounts, queue.accounts[index:]...)
	queue.accounts = slices.DeleteFunc(accounts, func(accountQueue *accountQueue) bool { return accountQueue.isIdle(now) })
	return queue
}

// find returns the index of an account, or the index at which to insert it and false.
func (queue Queue) find(account string) (int, bool) {
	return slices.BinarySearchFunc(queue.accounts, account, func(accountQueue *accountQueue, name string) int {
		return strings.Compare(accountQueue.account, name)
	})
}

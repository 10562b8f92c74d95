package account

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Engine priorities; a lower value runs first.
const (
	PriorityShort = 0
	PriorityLong  = 1
	// PriorityBorrowed is for short work beyond the entry's share. It comes after long
	// work, since long work within a share would otherwise starve in the engine while
	// the entries together lend themselves more slots than there are.
	PriorityBorrowed = 2
)

const (
	// mixWindow is the time over which the slots used by short work are averaged.
	mixWindow = 20 * time.Second
	// leastMix is the part of that window to observe before the mean is used.
	leastMix = 0.1
	// usageWindow is the time over which an account's slots are averaged, a few short answers long.
	usageWindow = 2 * time.Second
	// busyShare is the use of the entry's share from which accounts above their fair
	// part of it are held back; below it, all may borrow.
	busyShare = 0.8
	// reserveShare is the part of the entry's share that is kept free of such accounts,
	// so that work of the others finds a free slot instead of waiting for one to end.
	reserveShare = 0.25
	// rateWindow is the time over which the rate of grants is averaged.
	rateWindow = 5 * time.Second
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
	usage   average // slots used by all work
	rate    average // tokens granted per second
}

// Grant is a slot that a ticket got.
type Grant struct {
	Ticket Ticket
	// Priority is the priority of the work inside the engine.
	Priority int
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

// ShortSlots returns the mean number of slots that short work uses, negative until it is known.
func (queue Queue) ShortSlots() float64 {
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

// WithEnd returns the queue after work gave its slot back.
//
// Class is what the work counted as at its end, charged what its account paid, and
// tokens the length that it turned out to have, which the account pays in the end.
func (queue Queue) WithEnd(ticket Ticket, class call.Class, charged, tokens int, now time.Time) Queue {
	isLong := class == call.ClassLong
	queue = queue.at(now).withLane(ticket.Account, func(lane lane) lane {
		lane.running--
		if isLong {
			lane.runningLong--
		}
		lane.seen = now
		return lane.withCharge(tokens - charged)
	})
	queue.running--
	if isLong {
		queue.long--
	}
	return queue
}

// WithGrants returns the queue after giving out all the slots that capacity has room for, and the grants.
func (queue Queue) WithGrants(capacity Capacity, now time.Time) (Queue, []Grant) {
	queue = queue.at(now)
	var grants []Grant
	for queue.waiting > 0 {
		at, class, ok := queue.pick(capacity)
		if !ok {
			break
		}
		grant := Grant{Priority: PriorityLong}
		if class == call.ClassShort {
			grant.Priority = PriorityShort
			if queue.running >= capacity.Share {
				grant.Priority = PriorityBorrowed
			}
		}
		queue.virtual = max(queue.virtual, queue.lanes[at].tag)
		next, ticket := queue.lanes[at].withUsage(now).withGrant(class)
		queue.lanes = slices.Clone(queue.lanes)
		queue.lanes[at] = &next
		queue.waiting--
		queue.running++
		if class == call.ClassLong {
			queue.long++
		}
		queue.rate.mean += float64(ticket.Cost) / rateWindow.Seconds()
		grant.Ticket = ticket
		grants = append(grants, grant)
	}
	return queue, grants
}

// Wait returns the expected wait of an account's next ticket, 0 while the rate of grants is unknown.
func (queue Queue) Wait(account string) time.Duration {
	at, found := queue.find(account)
	if !found || queue.rate.mean <= 0 {
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
	return seconds(ahead / queue.rate.mean * weights / own.weight)
}

// pick returns the account that is furthest behind among those that may be granted a slot.
func (queue Queue) pick(capacity Capacity) (int, call.Class, bool) {
	best, class, found := 0, call.Class(""), false
	longRoom := queue.long < capacity.Long && queue.running < capacity.Share+capacity.Borrowed
	weights := queue.weights()
	for at, lane := range queue.lanes {
		if lane.waiting() == 0 || (found && lane.tag >= queue.lanes[best].tag) {
			continue
		}
		next, ok := lane.next(queue.running < queue.shortBound(*lane, weights, capacity), longRoom)
		if ok {
			best, class, found = at, next, true
		}
	}
	return best, class, found
}

// shortBound returns the number of running requests below which an account's short work gets a slot.
func (queue Queue) shortBound(lane lane, weights float64, capacity Capacity) int {
	share := float64(capacity.Share)
	if queue.usage.mean > busyShare*share && lane.usage.mean > share*lane.weight/weights {
		return max(1, int(share*(1-reserveShare)))
	}
	return capacity.Share + capacity.Borrowed
}

func (queue Queue) weights() float64 {
	weights := 0.0
	for _, lane := range queue.lanes {
		weights += lane.weight
	}
	return weights
}

// at returns the queue with its means brought up to a time.
func (queue Queue) at(now time.Time) Queue {
	queue.short = queue.short.with(float64(queue.running-queue.long), now, mixWindow)
	queue.usage = queue.usage.with(float64(queue.running), now, usageWindow)
	queue.rate = queue.rate.with(0, now, rateWindow)
	return queue
}

// withLane returns the queue with one account's lane changed, and without lanes that are idle.
func (queue Queue) withLane(account string, change func(lane) lane) Queue {
	at, found := queue.find(account)
	current := lane{account: account, weight: 1, tag: queue.virtual}
	if found {
		current = *queue.lanes[at]
	}
	now := queue.usage.at
	next := change(current.withUsage(now))
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

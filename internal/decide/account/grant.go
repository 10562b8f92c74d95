package account

import (
	"math"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Grant is a slot that a ticket got.
type Grant struct {
	Ticket Ticket
	// Priority is the priority of the work inside the engine.
	Priority int
}

// The engine priorities; a lower value runs first.
const (
	PriorityShort = 0
	PriorityLong  = 1
	// PriorityExcess is for short work of an account that asks for more than its part.
	// It comes after long work, which would otherwise starve in the engine while short
	// work is in excess. Each fair part that the account holds adds 1, so that a large
	// excess comes after a small one.
	PriorityExcess = 2
)

const (
	// calmMargin is how many standard deviations of a Poisson number of requests the
	// bound on excess work leaves free beyond the mean of the other accounts, so that
	// their work finds a free slot instead of waiting for one to end.
	calmMargin = 2
	// reserveShare is the part of the others' claims that an account with a backlog
	// leaves free even from its own part while its line is longer than a burst; an
	// account that is within its part again needs all of it to clear its line.
	reserveShare = 0.25
	// borrowLimit is the multiple of its fair part from which an account borrows no slots
	// beyond the share; random variation of an account within its part stays below it.
	borrowLimit = 2
	// excessLevels is the number of priorities for excess work.
	excessLevels = 4
)

// WithGrants returns the queue after giving out all the slots that capacity has room for, and the grants.
func (queue Queue) WithGrants(capacity Capacity, now time.Time) (Queue, []Grant) {
	queue = queue.at(now)
	var grants []Grant
	for queue.waiting > 0 {
		division := queue.division(capacity)
		at, class, ok := queue.pick(division)
		if !ok {
			break
		}
		grant := Grant{Priority: division.priority(*queue.lanes[at], class)}
		queue.virtual = max(queue.virtual, queue.lanes[at].tag)
		next, ticket := queue.lanes[at].withMeans(now).withGrant(class)
		queue.lanes = slices.Clone(queue.lanes)
		queue.lanes[at] = &next
		queue.waiting--
		queue.running++
		if class == call.ClassLong {
			queue.long++
		}
		grant.Ticket = ticket
		grants = append(grants, grant)
	}
	return queue, grants
}

// pick returns the account that is furthest behind among those that may be granted a slot.
func (queue Queue) pick(division division) (int, call.Class, bool) {
	best, class, found := 0, call.Class(""), false
	capacity := division.capacity
	longRoom := queue.long < capacity.Long && queue.running < capacity.Share+capacity.Borrowed
	for at, lane := range queue.lanes {
		if lane.waiting() == 0 || (found && lane.tag >= queue.lanes[best].tag) {
			continue
		}
		next, ok := lane.next(division.room(*lane, queue.running), longRoom)
		if ok {
			best, class, found = at, next, true
		}
	}
	return best, class, found
}

// division is the entry's share of slots as the accounts divide it for their short work.
//
// An account's part does not shrink with the slots that long work holds: with few
// slots left, random variation would pass for excess.
type division struct {
	capacity Capacity
	// slots is the number of slots per unit of weight.
	slots float64
	// reserve is the part of its own part that an account with a backlog leaves free.
	reserve float64
	// excess is the number of slots that accounts without a backlog leave to others.
	excess float64
}

func (queue Queue) division(capacity Capacity) division {
	weights, calm, usage := 0.0, 0.0, 0.0
	for _, lane := range queue.lanes {
		weights += lane.weight
		if !lane.backlogged() {
			calm += lane.weight
			usage += lane.meanShort()
		}
	}
	share := float64(capacity.Share)
	return division{
		capacity: capacity,
		slots:    share / weights,
		reserve:  reserveShare * calm / weights,
		excess:   share - float64(queue.long) - usage - calmMargin*math.Sqrt(usage),
	}
}

// room reports whether an account's short work may get a slot while that many are taken.
func (division division) room(lane lane, running int) bool {
	fair := division.slots * lane.weight
	own := float64(lane.runningShort())
	switch {
	case lane.backlogged():
		part := fair
		if float64(lane.short.length) > borrowLimit*fair {
			part *= 1 - division.reserve
		}
		return own < max(1, part, division.excess) && running < division.capacity.Share+division.capacity.Borrowed
	case own >= borrowLimit*fair:
		return running < division.capacity.Share
	default:
		return running < division.capacity.Share+division.capacity.Borrowed
	}
}

func (division division) priority(lane lane, class call.Class) int {
	parts := float64(lane.runningShort()) / (division.slots * lane.weight)
	switch {
	case class == call.ClassLong:
		return PriorityLong
	case !lane.backlogged() && parts < borrowLimit:
		return PriorityShort
	default:
		return PriorityExcess + min(int(parts), excessLevels-1)
	}
}

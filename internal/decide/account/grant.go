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
	// excessMargin is how many standard deviations of a Poisson number of requests the
	// bound on excess work leaves free beyond the mean of the other accounts, so that
	// their work finds a free slot instead of waiting for one to end.
	excessMargin = 2
	// reservedShare is the part of the others' claims that an account with a backlog
	// leaves free even from its own part while its line is longer than a burst; an
	// account that is within its part again needs all of it to clear its line.
	reservedShare = 0.25
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
		division := queue.allocation(capacity)
		at, class, ok := queue.pickAccount(division)
		if !ok {
			break
		}
		grant := Grant{Priority: division.priority(*queue.accounts[at], class)}
		queue.virtualTime = max(queue.virtualTime, queue.accounts[at].virtualTime)
		next, ticket := queue.accounts[at].withMeans(now).withGrant(class)
		queue.accounts = slices.Clone(queue.accounts)
		queue.accounts[at] = &next
		queue.waiting--
		queue.running++
		if class == call.ClassLong {
			queue.runningLong++
		}
		grant.Ticket = ticket
		grants = append(grants, grant)
	}
	return queue, grants
}

// pickAccount returns the account that is furthest behind among those that may be granted a slot.
func (queue Queue) pickAccount(division allocation) (int, call.Class, bool) {
	best, class, found := 0, call.Class(""), false
	capacity := division.capacity
	longRoom := queue.runningLong < capacity.Long && queue.running < capacity.Share+capacity.Borrowed
	for at, lane := range queue.accounts {
		if lane.waiting() == 0 || (found && lane.virtualTime >= queue.accounts[best].virtualTime) {
			continue
		}
		next, ok := lane.nextClass(division.hasRoom(*lane, queue.running), longRoom)
		if ok {
			best, class, found = at, next, true
		}
	}
	return best, class, found
}

// allocation is the entry's share of slots as the accounts divide it for their short work.
//
// An account's part does not shrink with the slots that long work holds: with few
// slots left, random variation would pass for excess.
type allocation struct {
	capacity Capacity
	// slotsPerWeight is the number of slots per unit of weight.
	slotsPerWeight float64
	// reservedFraction is the part of its own part that an account with a backlog leaves free.
	reservedFraction float64
	// excessSlots is the number of slots that accounts without a backlog leave to others.
	excessSlots float64
}

func (queue Queue) allocation(capacity Capacity) allocation {
	weights, calm, usage := 0.0, 0.0, 0.0
	for _, lane := range queue.accounts {
		weights += lane.weight
		if !lane.backlogged() {
			calm += lane.weight
			usage += lane.meanShort()
		}
	}
	share := float64(capacity.Share)
	return allocation{
		capacity: capacity,
		slotsPerWeight:    share / weights,
		reservedFraction:  reservedShare * calm / weights,
		excessSlots:   share - float64(queue.runningLong) - usage - excessMargin*math.Sqrt(usage),
	}
}

// hasRoom reports whether an account's short work may get a slot while that many are taken.
func (division allocation) hasRoom(lane accountQueue, running int) bool {
	fair := division.slotsPerWeight * lane.weight
	own := float64(lane.runningShort())
	switch {
	case lane.backlogged():
		part := fair
		if float64(lane.short.length) > borrowLimit*fair {
			part *= 1 - division.reservedFraction
		}
		return own < max(1, part, division.excessSlots) && running < division.capacity.Share+division.capacity.Borrowed
	case own >= borrowLimit*fair:
		return running < division.capacity.Share
	default:
		return running < division.capacity.Share+division.capacity.Borrowed
	}
}

func (division allocation) priority(lane accountQueue, class call.Class) int {
	parts := float64(lane.runningShort()) / (division.slotsPerWeight * lane.weight)
	switch {
	case class == call.ClassLong:
		return PriorityLong
	case !lane.backlogged() && parts < borrowLimit:
		return PriorityShort
	default:
		return PriorityExcess + min(int(parts), excessLevels-1)
	}
}

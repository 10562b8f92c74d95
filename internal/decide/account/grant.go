package account

import (
	"math"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Grant is the assignment of a slot to a ticket.
type Grant struct {
	Ticket Ticket
	// Priority is the priority of the work inside the engine; a lower value runs first.
	Priority int
}

// The engine priorities; a lower value runs first.
const (
	PriorityShort = 0
	PriorityLong  = 1
	// PriorityExcess is for short work of an account that uses more than its fair share.
	// It runs after long work, which would otherwise starve in the engine while an
	// account sends too much short work. Each multiple of its fair share that the account
	// holds adds 1, so that a large excess runs after a small one.
	PriorityExcess = 2
)

const (
	// excessMargin is the number of standard deviations of a Poisson distributed number of
	// requests that the bound on excess work leaves free beyond the mean of the other
	// accounts, so that their work finds a free slot and does not wait for one.
	excessMargin = 2
	// reservedShare scales the fraction of its fair share that an account leaves free for
	// accounts without a backlog while its own backlog is longer than a burst. An account
	// whose demand is back within its fair share needs all of it to clear the backlog.
	reservedShare = 0.25
	// borrowLimit is the multiple of its fair share from which an account gets no slots
	// beyond the entry's share. Random variation of an account within its fair share stays
	// below it.
	borrowLimit = 2
	// excessLevels is the number of priorities for excess work.
	excessLevels = 4
)

// WithGrants returns the queue after it has granted all slots that capacity allows, and the grants in order.
func (queue Queue) WithGrants(capacity Capacity, now time.Time) (Queue, []Grant) {
	queue = queue.withTime(now)
	var grants []Grant
	for queue.waiting > 0 {
		allocation := queue.allocation(capacity)
		index, class, ok := queue.pickAccount(allocation)
		if !ok {
			break
		}
		grant := Grant{Priority: allocation.priority(*queue.accounts[index], class)}
		queue.virtualTime = max(queue.virtualTime, queue.accounts[index].virtualTime)
		next, ticket := queue.accounts[index].withMeans(now).withGrant(class)
		queue.accounts = slices.Clone(queue.accounts)
		queue.accounts[index] = &next
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

// pickAccount returns the index of the account with the lowest virtual time among those
// that may be granted a slot, and the class of the work, or false if there is none.
func (queue Queue) pickAccount(allocation allocation) (int, call.Class, bool) {
	best, class, found := 0, call.Class(""), false
	capacity := allocation.capacity
	longRoom := queue.runningLong < capacity.MaxLong && queue.running < capacity.Share+capacity.MaxBorrowed
	for index, accountQueue := range queue.accounts {
		if accountQueue.waiting() == 0 || (found && accountQueue.virtualTime >= queue.accounts[best].virtualTime) {
			continue
		}
		next, ok := accountQueue.nextClass(allocation.hasRoom(*accountQueue, queue.running), longRoom)
		if ok {
			best, class, found = index, next, true
		}
	}
	return best, class, found
}

// allocation divides the entry's share of slots between the accounts' short work.
//
// An account's fair share does not shrink with the slots that long work holds: with few
// slots left, random variation would be taken for excess.
type allocation struct {
	capacity Capacity
	// slotsPerWeight is the number of slots per unit of weight.
	slotsPerWeight float64
	// reservedFraction is the fraction of its fair share that an account with a long backlog leaves free.
	reservedFraction float64
	// excessSlots is the number of slots that accounts without a backlog leave to the other accounts.
	excessSlots float64
}

func (queue Queue) allocation(capacity Capacity) allocation {
	weights, unbackloggedWeight, unbackloggedSlots := 0.0, 0.0, 0.0
	for _, accountQueue := range queue.accounts {
		weights += accountQueue.weight
		if !accountQueue.backlogged() {
			unbackloggedWeight += accountQueue.weight
			unbackloggedSlots += accountQueue.expectedRunningShort()
		}
	}
	share := float64(capacity.Share)
	return allocation{
		capacity:         capacity,
		slotsPerWeight:   share / weights,
		reservedFraction: reservedShare * unbackloggedWeight / weights,
		excessSlots:      share - float64(queue.runningLong) - unbackloggedSlots - excessMargin*math.Sqrt(unbackloggedSlots),
	}
}

// hasRoom reports whether an account's short work may get a slot. Running is the number
// of slots that all accounts' work at the entry holds.
func (allocation allocation) hasRoom(accountQueue accountQueue, running int) bool {
	fairSlots := allocation.slotsPerWeight * accountQueue.weight
	runningShort := float64(accountQueue.runningShort())
	switch {
	case accountQueue.backlogged():
		limit := fairSlots
		if float64(accountQueue.short.length) > borrowLimit*fairSlots {
			limit *= 1 - allocation.reservedFraction
		}
		return runningShort < max(1, limit, allocation.excessSlots) && running < allocation.capacity.Share+allocation.capacity.MaxBorrowed
	case runningShort >= borrowLimit*fairSlots:
		return running < allocation.capacity.Share
	default:
		return running < allocation.capacity.Share+allocation.capacity.MaxBorrowed
	}
}

// priority returns the engine priority of an account's next work of a class.
func (allocation allocation) priority(accountQueue accountQueue, class call.Class) int {
	fairMultiple := float64(accountQueue.runningShort()) / (allocation.slotsPerWeight * accountQueue.weight)
	switch {
	case class == call.ClassLong:
		return PriorityLong
	case !accountQueue.backlogged() && fairMultiple < borrowLimit:
		return PriorityShort
	default:
		return PriorityExcess + min(int(fairMultiple), excessLevels-1)
	}
}

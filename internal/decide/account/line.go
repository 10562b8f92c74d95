package account

import (
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// line is an immutable first-in-first-out list of tickets.
//
// Pushing and popping copy nothing but the header; the back list is reversed into
// the front slice once per ticket.
type line struct {
	front  []Ticket
	back   *node
	length int
	cost   int
}

type node struct {
	ticket Ticket
	next   *node
}

// Ticket is one piece of work that waits or runs.
type Ticket struct {
	// ID is unique within a queue.
	ID      uint64
	Account string
	// Weight is the account's share of capacity relative to the others.
	Weight int
	Class  call.Class
	// Cost is the expected length in tokens.
	Cost int
	// Handle is the caller's own reference to the work; the queue only passes it on.
	Handle any
}

func (line line) with(ticket Ticket) line {
	line.back = &node{ticket: ticket, next: line.back}
	line.length++
	line.cost += ticket.Cost
	return line
}

// withoutFirst returns the line without its first ticket, and that ticket.
func (line line) withoutFirst() (line, Ticket) {
	line = line.settled()
	first := line.front[0]
	line.front = line.front[1:]
	line.length--
	line.cost -= first.Cost
	return line, first
}

// without returns the line without the ticket of that ID, and whether it was there.
func (line line) without(id uint64) (line, bool) {
	tickets := append(slices.Clone(line.front), reversed(line.back)...)
	at := slices.IndexFunc(tickets, func(ticket Ticket) bool { return ticket.ID == id })
	if at < 0 {
		return line, false
	}
	line.cost -= tickets[at].Cost
	line.length--
	line.front, line.back = slices.Delete(tickets, at, at+1), nil
	return line, true
}

func (line line) settled() line {
	if len(line.front) == 0 {
		line.front, line.back = reversed(line.back), nil
	}
	return line
}

func reversed(last *node) []Ticket {
	var tickets []Ticket
	for ; last != nil; last = last.next {
		tickets = append(tickets, last.ticket)
	}
	slices.Reverse(tickets)
	return tickets
}

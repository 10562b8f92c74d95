package account

import (
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// ticketFIFO is an immutable first-in-first-out list of tickets.
//
// Pushing and popping copy nothing but the header; the back list is reversed into
// the front slice once per ticket.
type ticketFIFO struct {
	front  []Ticket
	back   *ticketNode
	length int
	totalCost   int
}

type ticketNode struct {
	ticket Ticket
	next   *ticketNode
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

func (line ticketFIFO) with(ticket Ticket) ticketFIFO {
	line.back = &ticketNode{ticket: ticket, next: line.back}
	line.length++
	line.totalCost += ticket.Cost
	return line
}

// withoutFirst returns the line without its first ticket, and that ticket.
func (line ticketFIFO) withoutFirst() (ticketFIFO, Ticket) {
	line = line.withFront()
	first := line.front[0]
	line.front = line.front[1:]
	line.length--
	line.totalCost -= first.Cost
	return line, first
}

// without returns the line without the ticket of that ID, and whether it was there.
func (line ticketFIFO) without(id uint64) (ticketFIFO, bool) {
	tickets := append(slices.Clone(line.front), reversedTickets(line.back)...)
	at := slices.IndexFunc(tickets, func(ticket Ticket) bool { return ticket.ID == id })
	if at < 0 {
		return line, false
	}
	line.totalCost -= tickets[at].Cost
	line.length--
	line.front, line.back = slices.Delete(tickets, at, at+1), nil
	return line, true
}

func (line ticketFIFO) withFront() ticketFIFO {
	if len(line.front) == 0 {
		line.front, line.back = reversedTickets(line.back), nil
	}
	return line
}

func reversedTickets(last *ticketNode) []Ticket {
	var tickets []Ticket
	for ; last != nil; last = last.next {
		tickets = append(tickets, last.ticket)
	}
	slices.Reverse(tickets)
	return tickets
}

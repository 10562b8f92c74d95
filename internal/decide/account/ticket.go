package account

import (
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// ticketFIFO is an immutable first-in-first-out list of tickets.
//
// Pushing and popping copy only the header. Each ticket is moved once from the back
// list, which is in reverse order, to the front slice.
type ticketFIFO struct {
	front     []Ticket
	back      *ticketNode
	length    int
	totalCost int
}

type ticketNode struct {
	ticket Ticket
	next   *ticketNode
}

// Ticket is one piece of work that waits for a slot or holds one.
type Ticket struct {
	// ID is unique within a queue.
	ID      uint64
	Account string
	// Weight is the account's weight in the division of capacity, relative to the other accounts.
	Weight int
	Class  call.Class
	// Cost is the expected length in tokens.
	Cost int
	// Handle is the caller's reference to the work; the queue returns it unchanged with the grant.
	Handle any
}

// with returns the list with a ticket added at its end.
func (ticketFIFO ticketFIFO) with(ticket Ticket) ticketFIFO {
	ticketFIFO.back = &ticketNode{ticket: ticket, next: ticketFIFO.back}
	ticketFIFO.length++
	ticketFIFO.totalCost += ticket.Cost
	return ticketFIFO
}

// withoutFirst returns the list without its first ticket, and that ticket; the list must not be empty.
func (ticketFIFO ticketFIFO) withoutFirst() (ticketFIFO, Ticket) {
	ticketFIFO = ticketFIFO.withFront()
	first := ticketFIFO.front[0]
	ticketFIFO.front = ticketFIFO.front[1:]
	ticketFIFO.length--
	ticketFIFO.totalCost -= first.Cost
	return ticketFIFO, first
}

// without returns the list without the ticket with the given ID, and whether the list held it.
func (ticketFIFO ticketFIFO) without(id uint64) (ticketFIFO, bool) {
	tickets := append(slices.Clone(ticketFIFO.front), reversedTickets(ticketFIFO.back)...)
	index := slices.IndexFunc(tickets, func(ticket Ticket) bool { return ticket.ID == id })
	if index < 0 {
		return ticketFIFO, false
	}
	ticketFIFO.totalCost -= tickets[index].Cost
	ticketFIFO.length--
	ticketFIFO.front, ticketFIFO.back = slices.Delete(tickets, index, index+1), nil
	return ticketFIFO, true
}

// withFront returns the list with the back list moved to the front slice if that is empty.
func (ticketFIFO ticketFIFO) withFront() ticketFIFO {
	if len(ticketFIFO.front) == 0 {
		ticketFIFO.front, ticketFIFO.back = reversedTickets(ticketFIFO.back), nil
	}
	return ticketFIFO
}

// reversedTickets returns the tickets of a back list, oldest first.
func reversedTickets(last *ticketNode) []Ticket {
	var tickets []Ticket
	for ; last != nil; last = last.next {
		tickets = append(tickets, last.ticket)
	}
	slices.Reverse(tickets)
	return tickets
}

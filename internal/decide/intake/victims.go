package intake

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection of a client is doing.
type Phase string

// The phases. A request of a connection in PhaseIdle, PhaseHead or PhaseBody has not run, so the connection may be closed.
const (
	PhaseIdle Phase = "Idle"
	PhaseHead Phase = "Head"
	PhaseBody Phase = "Body"
	PhaseCall Phase = "Call"
)

// Holding is what one connection holds.
type Holding struct {
	Phase Phase
	// Since is the age of the process when the phase began.
	Since time.Duration
	Bytes int64
}

// Excess is what must be given back.
type Excess struct {
	Bytes       int64
	Descriptors int64
}

// IsZero reports whether nothing must be given back.
func (excess Excess) IsZero() bool { return excess.Bytes <= 0 && excess.Descriptors <= 0 }

// Victims returns the indexes of the connections to close, and whether they give back the whole excess.
//
// To give memory back, the oldest unfinished heads come first, then bodies, then idle connections. To give descriptors back, the
// connections that have waited longest come first, whether idle or in a head: one that has just begun a head belongs more
// likely to an ordinary client. Connections with a call in progress are never closed; the client that asks for more is refused.
func Victims(holdings []Holding, excess Excess) (victims []int, enough bool) {
	closed := make([]bool, len(holdings))
	needsBytes := func() bool { return excess.Bytes > 0 }
	needsDescriptors := func() bool { return excess.Descriptors > 0 }
	closeOldest := func(needed func() bool, phases ...Phase) {
		for _, index := range oldest(holdings, phases) {
			if !needed() {
				return
			}
			if closed[index] {
				continue
			}
			closed[index] = true
			victims = append(victims, index)
			excess.Bytes -= holdings[index].Bytes
			excess.Descriptors--
		}
	}
	closeOldest(needsBytes, PhaseHead)
	closeOldest(needsBytes, PhaseBody)
	closeOldest(needsBytes, PhaseIdle)
	closeOldest(needsDescriptors, PhaseIdle, PhaseHead)
	closeOldest(needsDescriptors, PhaseBody)
	return victims, excess.IsZero()
}

// oldest returns the indexes of the connections in some phases, the oldest first.
func oldest(holdings []Holding, phases []Phase) []int {
	var indexes []int
	for index, holding := range holdings {
		if slices.Contains(phases, holding.Phase) {
			indexes = append(indexes, index)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(holdings[a].Since, holdings[b].Since) })
	return indexes
}

package cluster

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

// EntryState is what one incarnation of an entry states of itself.
type EntryState struct {
	Member
	// Sequence rises with each statement.
	Sequence uint64
	// Clock is the wall clock at the statement, set right by those of the other entries in a reply.
	Clock time.Time
	// Admitted is what the entry admitted by client account since its start, in the unit of the limit.
	Admitted map[string]float64
	// Running is the number of calls in progress by [ServerKey].
	Running map[uint32]int
	// Demand is the prompt tokens a second by service.
	Demand map[string]float64
	// Leaving is the incarnations of servers that the entry lately learned to leave, by server.
	Leaving map[string]int64
	// Suspects are the requests that were in progress when servers crashed.
	Suspects []suspect.Report
}

// Usage is what one incarnation of an entry counted.
type Usage struct {
	// ID identifies the incarnation.
	ID     string
	Counts usage.Counts
}

// ServerKey returns the key under which calls in progress at a server are counted.
func ServerKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

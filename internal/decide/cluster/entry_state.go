package cluster

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

// EntryState is the state that one incarnation of an entry reports about itself.
type EntryState struct {
	Member
	// Sequence increases with each message that carries the state.
	Sequence uint64
	// Clock is the wall clock when the message was sent; in a reply it is corrected by the clocks of other entries.
	Clock time.Time
	// Admitted is the total admitted since the start by client account, in the unit of the account's limit.
	Admitted map[string]float64
	// Running is the number of calls in progress by server, under [ServerKey].
	Running map[uint32]int
	// Demand is the rate of prompt tokens per second by service.
	Demand map[string]float64
	// LeavingServers maps the ids of servers that the entry recently found to be leaving to the starts of
	// their incarnations, in milliseconds since 1970.
	LeavingServers map[string]int64
	// CrashReports identify requests that were in progress at servers when these crashed.
	CrashReports []suspect.Report
}

// Usage is the usage counts of one incarnation of an entry.
type Usage struct {
	// ID identifies the incarnation, as returned by [Member.ID].
	ID     string
	Counts usage.Counts
}

// ServerKey returns the hash of a server id under which calls in progress at the server are counted.
func ServerKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

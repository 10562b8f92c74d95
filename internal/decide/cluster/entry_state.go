package cluster

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
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
	// Asked is the total of all requests since the start by client account, whether admitted or not, in the same unit.
	Asked map[string]float64
	// Running is the number of calls in progress by server, under [ServerKey].
	Running map[uint32]int
	// Demand is the rate of prompt tokens per second by service.
	Demand map[string]float64
	// PrefillSamples counts the recent samples of the rates at which servers read prompts.
	PrefillSamples prefill.Counts
	// ShareFigures are the figures of package sharing, by its keys.
	ShareFigures map[uint32]float64
	// LeavingServers maps the ids of servers that the entry recently found to be leaving to the starts of
	// their incarnations, in milliseconds since 1970.
	LeavingServers map[string]int64
	// CrashReports identify requests that were in progress at servers when these crashed, and those that have finished since.
	CrashReports []suspect.Report
	// PartReports identify parts of prompts with which servers crashed, and those that have been answered since.
	PartReports []suspect.PartReport
}

// withTotals returns the state with totals added, by client account.
func (state EntryState) withTotals(admitted, asked map[string]float64) EntryState {
	state.Admitted = adjusted(state.Admitted, admitted, nil)
	state.Asked = adjusted(state.Asked, asked, nil)
	return state
}

// growthSince returns the state with what its totals have grown by since an earlier one; a total that is lower now has not
// grown.
func (state EntryState) growthSince(earlier EntryState) EntryState {
	state.Admitted = growth(state.Admitted, earlier.Admitted)
	state.Asked = growth(state.Asked, earlier.Asked)
	return state
}

// Usage is the usage counts of one incarnation of an entry.
type Usage struct {
	// ID identifies the incarnation, as returned by [Member.ID].
	ID     string
	Counts usage.Counts
	// AsOf is the wall-clock time, corrected by other entries' clocks, up to which the counts are complete.
	AsOf time.Time
}

// ServerKey returns the hash of a server id under which calls in progress at the server are counted.
func ServerKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

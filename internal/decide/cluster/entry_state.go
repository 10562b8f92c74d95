package cluster

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
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
	// PaceLogs and PaceSamples are the sums of recent samples of servers' paces and their weights, by [ServerKey], in the units of
	// package work, for the servers that differ clearly from their service.
	PaceLogs, PaceSamples map[uint32]int
	// ShareFigures are the figures of package sharing, by its keys.
	ShareFigures map[uint32]float64
	// LeavingServers maps the ids of servers that the entry recently found to be leaving to the starts of
	// their incarnations, in milliseconds since 1970.
	LeavingServers map[string]int64
	// CrashReports identify requests that were in progress at servers when these crashed, and those that have finished since.
	CrashReports []suspect.Report
	// Reported are the usage windows that some entry has reported, as far as this one knows.
	Reported usage.Reported
	// PartReports identify parts of prompts with which servers crashed, and those that have been answered since.
	PartReports []suspect.PartReport
	// Evidence counts the answers of both versions of each service whose version changes, since the order.
	Evidence rollout.Totals
	// MovedEntries is 1 for each order of a roll-out, by its revision, for which the entry sends no calls to old servers and has none
	// in progress there. Sums of it are numbers of entries.
	MovedEntries map[int64]float64
	// StoppedRollouts maps services to the revisions of the orders that were stopped, since the version is bad.
	StoppedRollouts map[string]int64
}

// withTotals returns the state with the totals of another added.
func (state EntryState) withTotals(added EntryState) EntryState {
	state.Admitted = adjusted(state.Admitted, added.Admitted, nil)
	state.Asked = adjusted(state.Asked, added.Asked, nil)
	state.Evidence = state.Evidence.Plus(added.Evidence)
	return state
}

// withEvidenceOf returns the state with the evidence of the orders for which keep returns true.
func (state EntryState) withEvidenceOf(keep func(order int64) bool) EntryState {
	state.Evidence = state.Evidence.Of(keep)
	return state
}

// growthSince returns the state with what its totals have grown by since an earlier one; a total that is lower now has not
// grown.
func (state EntryState) growthSince(earlier EntryState) EntryState {
	state.Admitted = growth(state.Admitted, earlier.Admitted)
	state.Asked = growth(state.Asked, earlier.Asked)
	state.Evidence = state.Evidence.GrowthSince(earlier.Evidence)
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

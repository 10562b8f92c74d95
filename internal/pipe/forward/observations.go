package forward

import (
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
)

const (
	// fewEntries is the number of entries up to which reports arrive often enough to be used as they are, and to
	// compare all servers.
	fewEntries = 12
	// peerCallsWeight is the weight of a report of the other entries' calls among more entries, in a moving average.
	peerCallsWeight = 0.1
	// serverSample is the number of servers at random that a call is compared with among more entries.
	serverSample = 3
)

// incarnation identifies one incarnation of a server by its id and its start time.
type incarnation struct {
	id        string
	startedMs int64
}

// Observations holds what this entry has observed of each incarnation of a server. It is
// safe for concurrent use.
type Observations struct {
	cells rcu.Cells[incarnation, placement.Observation]
	// sample is the number of servers at random that a call is compared with, 0 for all servers.
	sample atomic.Int32
}

// NewObservations returns observations of no server.
func NewObservations() *Observations {
	return &Observations{cells: rcu.NewCells[incarnation, placement.Observation]()}
}

// Candidates returns the servers, in the same order, with their observations.
func (observations *Observations) Candidates(servers []directory.Server) []placement.Candidate {
	candidates := make([]placement.Candidate, len(servers))
	for i, server := range servers {
		candidates[i] = placement.Candidate{Server: server, Observation: observations.observationCell(server).Load()}
	}
	return candidates
}

// View returns the same as [Observations.Candidates], without creating observations of new servers.
func (observations *Observations) View(servers []directory.Server) []placement.Candidate {
	candidates, cells := make([]placement.Candidate, len(servers)), observations.cells.All()
	for i, server := range servers {
		candidates[i].Server = server
		if cell := cells[incarnation{server.ID, server.StartedMs}]; cell != nil {
			candidates[i].Observation = cell.Load()
		}
	}
	return candidates
}

// Sample returns the number of servers at random that a call is compared with, 0 for all servers.
func (observations *Observations) Sample() int { return int(observations.sample.Load()) }

// Update applies a change to the observation of a server.
func (observations *Observations) Update(server directory.Server, change func(placement.Observation) placement.Observation) {
	observations.observationCell(server).Update(change)
}

// Running returns the number of this entry's calls in progress by server key, without the
// servers that have none.
func (observations *Observations) Running() map[uint32]int {
	running := map[uint32]int{}
	for incarnation, cell := range observations.cells.All() {
		if count := cell.Load().Running(); count > 0 {
			running[cluster.ServerKey(incarnation.id)] += count
		}
	}
	return running
}

// MergePeers stores the number of calls in progress that other entries report for each
// server, by server key. Entries is the number of live entries.
func (observations *Observations) MergePeers(peerCalls map[uint32]int, entries int) {
	weight, sample := 1.0, int32(0)
	if entries > fewEntries {
		weight, sample = peerCallsWeight, serverSample
	}
	observations.sample.Store(sample)
	for incarnation, cell := range observations.cells.All() {
		running := peerCalls[cluster.ServerKey(incarnation.id)]
		if running > 0 || cell.Load().PeerCalls() > 0 {
			cell.Update(func(observation placement.Observation) placement.Observation {
				return observation.WithPeerCalls(running, weight)
			})
		}
	}
}

// MergeListing records which incarnations are listed, and drops those that have ended.
func (observations *Observations) MergeListing(listed map[string]directory.Server, now time.Duration) {
	for incarnation, cell := range observations.cells.All() {
		server, ok := listed[incarnation.id]
		isListed := ok && server.StartedMs == incarnation.startedMs
		if observation := cell.Load(); observation != observation.WithListing(isListed, now) {
			cell.Update(func(observation placement.Observation) placement.Observation {
				return observation.WithListing(isListed, now)
			})
		}
	}
	observations.cells.Drop(func(_ incarnation, observation placement.Observation) bool { return observation.Expired(now) })
}

// Paces returns the samples of the paces of servers to report to other entries, by server key. Among few entries each has enough samples of
// its own, and reports none.
func (observations *Observations) Paces(now time.Duration) (logs, samples map[uint32]int) {
	if observations.Sample() == 0 {
		return nil, nil
	}
	logs, samples = map[uint32]int{}, map[uint32]int{}
	for incarnation, cell := range observations.cells.All() {
		if shared := cell.Load().Work().Decode.Shared(now); shared.Samples > 0 {
			key := cluster.ServerKey(incarnation.id)
			logs[key], samples[key] = shared.Log, shared.Samples
		}
	}
	return logs, samples
}

// MergePaces stores the samples of the paces of servers that other entries report, by server key.
func (observations *Observations) MergePaces(logs, samples map[uint32]int) {
	for incarnation, cell := range observations.cells.All() {
		key := cluster.ServerKey(incarnation.id)
		shared := work.SharedPace{Log: logs[key], Samples: samples[key]}
		if shared == cell.Load().Work().Peers() {
			continue
		}
		cell.Update(func(observation placement.Observation) placement.Observation {
			return observation.WithWork(func(server work.Server) work.Server { return server.WithPeers(shared) })
		})
	}
}

// observationCell returns the cell with the observation of a server's incarnation, which it
// creates for a new incarnation.
func (observations *Observations) observationCell(server directory.Server) *rcu.Cell[placement.Observation] {
	return observations.cells.GetOrCreate(incarnation{server.ID, server.StartedMs}, placement.Observation{})
}

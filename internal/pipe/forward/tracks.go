package forward

import (
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
)

// track identifies the incarnation of a server.
type track struct {
	id   string
	born int64
}

// Observations holds what is known of each incarnation of a server.
type Observations struct {
	cells rcu.Cells[track, placement.Observation]
}

// NewObservations returns tracks of no server.
func NewObservations() *Observations {
	return &Observations{cells: rcu.NewCells[track, placement.Observation]()}
}

// Candidates returns the servers with their observations.
func (observations *Observations) Candidates(servers []directory.Server) []placement.Candidate {
	candidates := make([]placement.Candidate, len(servers))
	for i, server := range servers {
		candidates[i] = placement.Candidate{Server: server, Observation: observations.cell(server).Load()}
	}
	return candidates
}

// Update changes what is known of a server.
func (observations *Observations) Update(server directory.Server, change func(placement.Observation) placement.Observation) {
	observations.cell(server).Update(change)
}

// Running returns the number of own calls by server, those without any left out.
func (observations *Observations) Running() map[uint32]int {
	running := map[uint32]int{}
	for track, cell := range observations.cells.All() {
		if count := cell.Load().Running(); count > 0 {
			running[cluster.ServerKey(track.id)] += count
		}
	}
	return running
}

// MergePeers joins the calls that other entries state, and drops servers that are not known any more.
func (observations *Observations) MergePeers(others []cluster.Aggregate, known map[string]directory.Server) {
	gone := func(track track, observation placement.Observation) bool {
		server, ok := known[track.id]
		return (!ok || server.StartedMs != track.born) && observation.Running() == 0
	}
	dropping := false
	for track, cell := range observations.cells.All() {
		running, key := 0, cluster.ServerKey(track.id)
		for _, group := range others {
			running += group.Running[key]
		}
		if cell.Load().PeerCalls() != running {
			cell.Update(func(observation placement.Observation) placement.Observation {
				return observation.WithPeerCalls(running)
			})
		}
		dropping = dropping || gone(track, cell.Load())
	}
	if dropping {
		observations.cells.Drop(gone)
	}
}

func (observations *Observations) cell(server directory.Server) *rcu.Cell[placement.Observation] {
	return observations.cells.Of(track{server.ID, server.StartedMs}, placement.Observation{})
}

package forward

import (
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
)

// incarnation identifies the incarnation of a server.
type incarnation struct {
	id   string
	born int64
}

// Tracks holds what is known of each incarnation of a server.
type Tracks struct {
	cells rcu.Cells[incarnation, placement.Observation]
}

// NewTracks returns tracks of no server.
func NewTracks() *Tracks {
	return &Tracks{cells: rcu.NewCells[incarnation, placement.Observation]()}
}

// Candidates returns the servers with their observations.
func (tracks *Tracks) Candidates(servers []directory.Server) []placement.Candidate {
	candidates := make([]placement.Candidate, len(servers))
	for i, server := range servers {
		candidates[i] = placement.Candidate{Server: server, Observation: tracks.cell(server).Load()}
	}
	return candidates
}

// Update changes what is known of a server.
func (tracks *Tracks) Update(server directory.Server, change func(placement.Observation) placement.Observation) {
	tracks.cell(server).Update(change)
}

// Running returns the number of own calls by server, those without any left out.
func (tracks *Tracks) Running() map[uint32]int {
	running := map[uint32]int{}
	for incarnation, cell := range tracks.cells.All() {
		if count := cell.Load().Running(); count > 0 {
			running[neighbour.ServerKey(incarnation.id)] += count
		}
	}
	return running
}

// Take joins the calls that other entries state, and drops servers that are not known any more.
func (tracks *Tracks) Take(others []neighbour.Group, known map[string]directory.Server) {
	gone := func(incarnation incarnation, observation placement.Observation) bool {
		server, ok := known[incarnation.id]
		return (!ok || server.Born != incarnation.born) && observation.Running() == 0
	}
	dropping := false
	for incarnation, cell := range tracks.cells.All() {
		running, key := 0, neighbour.ServerKey(incarnation.id)
		for _, group := range others {
			running += group.Running[key]
		}
		if cell.Load().Peers() != running {
			cell.Update(func(observation placement.Observation) placement.Observation { return observation.WithPeers(running) })
		}
		dropping = dropping || gone(incarnation, cell.Load())
	}
	if dropping {
		tracks.cells.Drop(gone)
	}
}

func (tracks *Tracks) cell(server directory.Server) *rcu.Cell[placement.Observation] {
	return tracks.cells.Of(incarnation{server.ID, server.Born}, placement.Observation{})
}

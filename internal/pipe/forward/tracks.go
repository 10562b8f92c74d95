package forward

import (
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
)

// track identifies the incarnation of a server.
type track struct {
	id   string
	born int64
}

// Tracks holds what is known of each incarnation of a server.
type Tracks struct {
	cells rcu.Cells[track, placement.Observation]
}

// NewTracks returns tracks of no server.
func NewTracks() *Tracks {
	return &Tracks{cells: rcu.NewCells[track, placement.Observation]()}
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
	for track, cell := range tracks.cells.All() {
		if count := cell.Load().Running(); count > 0 {
			running[neighbour.ServerKey(track.id)] += count
		}
	}
	return running
}

// Take joins the calls that other entries state, and drops servers that are not known any more.
func (tracks *Tracks) Take(others []neighbour.Group, known map[string]directory.Server) {
	gone := func(track track, observation placement.Observation) bool {
		server, ok := known[track.id]
		return (!ok || server.Born != track.born) && observation.Running() == 0
	}
	dropping := false
	for track, cell := range tracks.cells.All() {
		running, key := 0, neighbour.ServerKey(track.id)
		for _, group := range others {
			running += group.Running[key]
		}
		if cell.Load().Peers() != running {
			cell.Update(func(observation placement.Observation) placement.Observation { return observation.WithPeers(running) })
		}
		dropping = dropping || gone(track, cell.Load())
	}
	if dropping {
		tracks.cells.Drop(gone)
	}
}

func (tracks *Tracks) cell(server directory.Server) *rcu.Cell[placement.Observation] {
	return tracks.cells.Of(track{server.ID, server.Born}, placement.Observation{})
}

package forward

import (
	"math/rand/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
)

// RecordCall records that a call of a route to a service has arrived, which adds to the share of new servers.
func (rollouts *Rollouts) RecordCall(service, route string) {
	if rollouts == nil {
		return
	}
	if cell := rollouts.state(service); cell.Load().Phase() == rollout.PhaseTrial {
		cell.Update(func(state rollout.State) rollout.State { return state.WithRequest(route, rollouts.exposeShare()) })
	}
}

// selection is the servers that an attempt may be sent to.
type selection struct {
	preferred []directory.Server
	// fallback is used if none of the preferred servers takes the call.
	fallback []directory.Server
	// exposes reports that the attempt counts as one at a new server in a trial, unless it is sent to the fallback.
	exposes bool
}

// selectServers returns the servers of a service that the next attempt of a call may be sent to. Exposable is whether it may be
// sent to a new server in a trial.
func (rollouts *Rollouts) selectServers(servers directory.Servers, service, route string, exposable bool) selection {
	if rollouts == nil {
		return selection{preferred: servers.OfService(service)}
	}
	// The list was loaded before the orders, so orders of at least its revision are not older.
	cell, known := rollouts.state(service), rollouts.confirmed(servers, service)
	state := cell.Load()
	if state.Plan().IsZero() {
		return selection{preferred: known}
	}
	onSide := func(side rollout.Side) []directory.Server {
		return state.Candidates(known, side, rollouts.exposeShare())
	}
	switch state.Phase() {
	case rollout.PhaseTrial:
		if !exposable {
			break
		}
		draw := rand.Float64()
		if _, taken := rcu.Apply(cell, func(state rollout.State) (rollout.State, bool) {
			return state.WithExposure(route, rollouts.exposeShare(), draw)
		}); taken {
			return selection{preferred: onSide(rollout.SideNew), fallback: onSide(rollout.SideOld), exposes: true}
		}
	case rollout.PhaseShift:
		return selection{preferred: onSide(rollout.SideNew), fallback: onSide(rollout.SideOld)}
	case rollout.PhaseDone:
		return selection{preferred: onSide(rollout.SideNew)}
	}
	return selection{preferred: onSide(rollout.SideOld)}
}

// confirmed returns the servers of a service, which the caller must not change, without those of versions that this entry has not seen
// before, until the orders have been read at a revision not below that of the list in which they appeared.
func (rollouts *Rollouts) confirmed(servers directory.Servers, service string) []directory.Server {
	_, revision := rollouts.source.Rollouts()
	listed := servers.OfService(service)
	var confirmed []directory.Server
	isConfirmed, heldBack := false, false
	for i, server := range listed {
		if i == 0 || server.Version != listed[i-1].Version {
			isConfirmed = rollouts.isConfirmed(versionKey{service, server.Version}, servers.Revision(), revision)
		}
		switch {
		case !isConfirmed && !heldBack:
			// The list is shared, and copied only if it has servers that are held back.
			confirmed, heldBack = append(confirmed, listed[:i]...), true
		case isConfirmed && heldBack:
			confirmed = append(confirmed, server)
		}
	}
	if !heldBack {
		return listed
	}
	return confirmed
}

// isConfirmed reports whether the orders have been read at a revision not below that of the list in which a version appeared.
func (rollouts *Rollouts) isConfirmed(key versionKey, listRevision, ordersRevision int64) bool {
	cell := rollouts.noticed.GetOrCreate(key, noticedVersion{revision: listRevision})
	noticed := cell.Load()
	if !noticed.confirmed && ordersRevision > 0 && ordersRevision >= noticed.revision {
		noticed.confirmed = true
		cell.Store(noticed)
	}
	return noticed.confirmed
}

// HasConfirmed reports whether calls can be sent to any listed server: at the start of an entry, the list may be newer than the orders.
func (rollouts *Rollouts) HasConfirmed(servers directory.Servers) bool {
	if rollouts == nil || len(servers.All()) == 0 {
		return true
	}
	checked := map[string]bool{}
	for _, server := range servers.All() {
		if checked[server.Service] {
			continue
		}
		checked[server.Service] = true
		if len(rollouts.confirmed(servers, server.Service)) > 0 {
			return true
		}
	}
	return false
}

// returnExposure returns the share that a call took which was not sent to a new server.
func (rollouts *Rollouts) returnExposure(service, route string) {
	rollouts.state(service).Update(func(state rollout.State) rollout.State { return state.WithoutExposure(route) })
}

// recordRepeat records that a call was sent to the same server again.
func (rollouts *Rollouts) recordRepeat(server directory.Server, route string) {
	if rollouts == nil {
		return
	}
	cell := rollouts.state(server.Service)
	if state := cell.Load(); state.Phase() == rollout.PhaseTrial && state.SideOf(server.Version) == rollout.SideNew {
		cell.Update(func(state rollout.State) rollout.State { return state.WithRepeat(route) })
	}
}

// begin counts an attempt that is about to be sent to a server, or returns false if calls may no longer be sent there. After true, end
// must be called.
//
// The attempt is counted before the check, and [Rollouts.Moved] reads the phase before the counts, so an entry that has reported that
// it has moved begins no attempt at an old server.
func (rollouts *Rollouts) begin(server directory.Server) bool {
	if rollouts == nil {
		return true
	}
	rollouts.countInProgress(server, 1)
	if rollouts.allows(server) {
		return true
	}
	rollouts.countInProgress(server, -1)
	return false
}

// allows reports whether calls may be sent to a server of its version.
func (rollouts *Rollouts) allows(server directory.Server) bool {
	return rollouts == nil || rollouts.state(server.Service).Load().Allows(server.Version)
}

// end records that an attempt at a server has ended.
func (rollouts *Rollouts) end(server directory.Server) {
	if rollouts != nil {
		rollouts.countInProgress(server, -1)
	}
}

func (rollouts *Rollouts) countInProgress(server directory.Server, calls int) {
	rollouts.inProgress.GetOrCreate(versionKey{server.Service, server.Version}, 0).Update(func(count int) int { return count + calls })
}

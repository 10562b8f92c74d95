package share

import (
	"maps"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
)

// peerStatus is what this entry knows of the peer at one address.
type peerStatus struct {
	// busy reports that an exchange is in progress, and pushingRoutes and pushingServers that a push is.
	busy           bool
	pushingRoutes  bool
	pushingServers bool
	// awaitsPush reports that the peer was sent a reply without content that it lacks.
	awaitsPush bool
	// avoidUntil is the boot time until which the peer is skipped, after it did not answer.
	avoidUntil time.Duration
	// memberDigest is the digest of those members of this entry's aggregate that the peer already has.
	memberDigest uint64
	// routes and servers are the revision and the digest of the copies that the peer last said it has.
	routes  CachedRead
	servers CachedRead
}

// updatePeer replaces the status of an address by the first result of change, and returns the second one.
func (syncer *Syncer) updatePeer(address string, change func(peerStatus) (peerStatus, bool)) bool {
	_, result := rcu.Apply(syncer.peers, func(peers map[string]peerStatus) (map[string]peerStatus, bool) {
		status, result := change(peers[address])
		next := maps.Clone(peers)
		next[address] = status
		return next, result
	})
	return result
}

// beginExchange marks an exchange with an address as in progress, and returns false if there already is one.
func (syncer *Syncer) beginExchange(address string) bool {
	return syncer.updatePeer(address, func(status peerStatus) (peerStatus, bool) {
		begun := !status.busy
		status.busy = true
		return status, begun
	})
}

// endExchange records the end of an exchange. A peer that did not answer is skipped for avoidDuration, or for
// avoidDurationAlone while this entry has no contact with any.
func (syncer *Syncer) endExchange(address string, answered bool, reply Reply) {
	now, avoid := syncer.shared.clock.Now(), avoidDuration
	if syncer.shared.IsAlone() {
		avoid = avoidDurationAlone
	}
	syncer.updatePeer(address, func(status peerStatus) (peerStatus, bool) {
		if !answered {
			return peerStatus{pushingRoutes: status.pushingRoutes, pushingServers: status.pushingServers, avoidUntil: now + avoid}, false
		}
		status.busy, status.avoidUntil, status.memberDigest = false, 0, reply.MemberDigest
		return status.withCopies(reply.Routes, reply.Servers), true
	})
}

// recordCopies records what the peer at an address has of the store.
func (syncer *Syncer) recordCopies(address string, routes, servers CachedRead) {
	syncer.updatePeer(address, func(status peerStatus) (peerStatus, bool) { return status.withCopies(routes, servers), true })
}

// withCopies returns the status with the copies that the peer said it has, without their contents.
func (status peerStatus) withCopies(routes, servers CachedRead) peerStatus {
	status.routes = CachedRead{Revision: routes.Revision, Digest: routes.Digest}
	status.servers = CachedRead{Revision: servers.Revision, Digest: servers.Digest}
	return status
}

// withPushing returns the status with a push of one part of the store in progress, or ended.
func (status peerStatus) withPushing(part partName, pushing bool) peerStatus {
	if part == partRoutes {
		status.pushingRoutes = pushing
	} else {
		status.pushingServers = pushing
	}
	return status
}

// isPushing reports whether a push of one part of the store is in progress.
func (status peerStatus) isPushing(part partName) bool {
	if part == partRoutes {
		return status.pushingRoutes
	}
	return status.pushingServers
}

// forgetPeers drops the status of the addresses at which no live entry is, and with which no exchange is in progress.
func (syncer *Syncer) forgetPeers(fleet cluster.Fleet, now time.Duration) {
	alive := map[string]bool{}
	for _, member := range fleet.Alive() {
		alive[member.Address] = true
	}
	syncer.peers.Update(func(peers map[string]peerStatus) map[string]peerStatus {
		next := maps.Clone(peers)
		maps.DeleteFunc(next, func(address string, status peerStatus) bool {
			return !alive[address] && !status.busy && !status.pushingRoutes && !status.pushingServers && !status.awaitsPush && now >= status.avoidUntil
		})
		return next
	})
}

// isReachable reports whether no exchange with an address failed within the last avoidDuration.
func (syncer *Syncer) isReachable(address string, now time.Duration) bool {
	return now >= syncer.peers.Load()[address].avoidUntil
}

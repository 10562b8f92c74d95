package share

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
)

const (
	// maxPushes bounds the messages of one push to a peer. The second one is for a peer whose copy was not the one that the
	// difference belongs to.
	maxPushes = 3
	// minTransferRate is the rate in bytes per second at which content arrives at least: a tenth of a link of 10 Mbit/s, which
	// calls and other transfers share. A push that times out starts again from its first byte.
	minTransferRate = 125_000
)

// pushTimeout returns the time that a peer has to answer a push with content of a size.
func pushTimeout(contentBytes int) time.Duration {
	return exchangeTimeout + time.Duration(contentBytes)*time.Second/minTransferRate
}

// push passes on what this entry has received of the store, and reports whether a round of exchanges has to follow at
// once.
//
// Among few entries, a round does it, except for content that is too long for the messages of a round. Among many, a round
// carries far more than the change, so an aggregator sends the change alone, to the other aggregators and to the entries that
// send heartbeats to it, except to those that have it. A change so takes three messages to reach every entry: from the entry
// that read it to its aggregator, to the other aggregators, and to their entries.
//
// The list of servers and the configuration are pushed apart, since a long configuration would delay a departure.
func (syncer *Syncer) push(ctx context.Context) bool {
	fleet := syncer.shared.Fleet()
	isSmallFleet := len(fleet.Alive()) <= fewEntries
	now := syncer.shared.clock.Now()
	targets := syncer.pushTargets(fleet, syncer.takeAwaitingPeers())
	for _, part := range []partName{partServers, partRoutes} {
		for _, address := range targets {
			if isSmallFleet && !syncer.needsPush(address, part) {
				continue
			}
			if syncer.isReachable(address, now) && syncer.lacksChange(address, part) && syncer.beginPush(address, part) {
				syncer.exchanges.Go(func() { syncer.pushTo(ctx, address, part) })
			}
		}
	}
	if isSmallFleet {
		return true
	}
	if address := syncer.newerPeer.Swap(""); address != "" && syncer.beginExchange(address) {
		syncer.exchanges.Go(func() { syncer.exchangeWith(ctx, cluster.Target{Address: address}, messageContent{}) })
	}
	storeUnreachable := syncer.shared.failingParts.Load() > 0
	return storeUnreachable != syncer.sentStoreUnreachable
}

// requestPushTo makes the peer at an address a target of the next push, which begins at once.
func (syncer *Syncer) requestPushTo(address string) {
	syncer.updatePeer(address, func(status peerStatus) (peerStatus, bool) {
		status.awaitsPush = true
		return status, true
	})
	syncer.shared.RequestRound()
}

// takeAwaitingPeers returns the addresses of the peers that await a push. One that does not get it now is told so again in the
// reply to its next message.
func (syncer *Syncer) takeAwaitingPeers() []string {
	_, awaiting := rcu.Apply(syncer.peers, func(peers map[string]peerStatus) (map[string]peerStatus, []string) {
		var awaiting []string
		next := maps.Clone(peers)
		for address, status := range peers {
			if status.awaitsPush {
				awaiting = append(awaiting, address)
				status.awaitsPush = false
				next[address] = status
			}
		}
		return next, awaiting
	})
	return awaiting
}

// pushTargets returns the addresses of the entries to which this entry passes changes on: the awaiting ones, those that send
// heartbeats to it, and its aggregator or the other aggregators.
func (syncer *Syncer) pushTargets(fleet cluster.Fleet, awaiting []string) []string {
	var addresses []string
	self := syncer.shared.Cluster().Self().Address
	add := func(address string) {
		if address != self && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, member := range syncer.shared.Cluster().Reporters() {
		add(member.Address)
	}
	for _, address := range awaiting {
		add(address)
	}
	if fleet.IsAggregator() {
		for _, member := range fleet.Aggregators() {
			add(member.Address)
		}
		return addresses
	}
	for _, target := range fleet.Targets(func(address string) bool { return syncer.isReachable(address, syncer.shared.clock.Now()) }) {
		add(target.Address)
	}
	return addresses
}

// readFor returns this entry's copy of a part of the store for the peer at an address.
func (syncer *Syncer) readFor(address string, part partName) CachedRead {
	status := syncer.peers.Load()[address]
	if part == partRoutes {
		return syncer.shared.routesFor(status.routes)
	}
	return syncer.shared.serversFor(status.servers)
}

// needsPush reports whether the peer at an address lacks content that is too long for the messages of a round.
func (syncer *Syncer) needsPush(address string, part partName) bool {
	_, omitted := syncer.readFor(address, part).inline()
	return omitted
}

// lacksChange reports whether the peer at an address last had an older copy of a part of the store than this entry.
func (syncer *Syncer) lacksChange(address string, part partName) bool {
	status, shared := syncer.peers.Load()[address], syncer.shared
	if part == partRoutes {
		return lacksRoutes(shared.routes.Load().Revision, shared.routes.Load().Value.Digest, status.routes)
	}
	return lacks(shared.serverList.Load().Revision, shared.serverList.Load().Value.Digest, status.servers)
}

// lacks reports whether a peer's copy is older than the one with a revision and a digest, and another one.
func lacks(revision int64, digest uint64, peer CachedRead) bool {
	return revision > peer.Revision && digest != peer.Digest
}

// lacksRoutes is [lacks] for the configuration, of which two entries may have different copies of one revision after the store
// was restored from a backup: what the store has then, and a copy of a higher version, which both take in the end.
func lacksRoutes(revision int64, digest uint64, peer CachedRead) bool {
	return revision > 0 && revision >= peer.Revision && digest != peer.Digest
}

// beginPush marks a push of a part to an address as in progress, and returns false if there already is one.
func (syncer *Syncer) beginPush(address string, part partName) bool {
	return syncer.updatePeer(address, func(status peerStatus) (peerStatus, bool) {
		begun := !status.isPushing(part)
		return status.withPushing(part, true), begun
	})
}

// pushTo sends the peer at an address the changes of a part that it lacks, and those that arrive meanwhile. A peer that does
// not answer, or still lacks them after maxPushes messages, gets them after its next message.
func (syncer *Syncer) pushTo(ctx context.Context, address string, part partName) {
	sent := syncer.revisions()
	for range maxPushes {
		sent = syncer.revisions()
		if !syncer.lacksChange(address, part) || !syncer.pushOnce(ctx, address, part) {
			break
		}
	}
	syncer.updatePeer(address, func(status peerStatus) (peerStatus, bool) { return status.withPushing(part, false), true })
	if syncer.revisions() != sent && syncer.lacksChange(address, part) {
		syncer.shared.RequestRound()
	}
}

// revisions returns the revisions of this entry's copies of the configuration and of the list of servers.
func (syncer *Syncer) revisions() [2]int64 {
	return [2]int64{syncer.shared.routes.Load().Revision, syncer.shared.serverList.Load().Revision}
}

// pushOnce sends one message with the changes of a part that the peer at an address lacks, and reports whether the peer has
// answered.
func (syncer *Syncer) pushOnce(ctx context.Context, address string, part partName) bool {
	shared := syncer.shared
	message := StateMessage{
		Sender:  cluster.EntryState{Member: shared.Cluster().Self().Member, LeavingServers: shared.Cluster().Self().LeavingServers},
		IsPush:  true,
		Routes:  shared.routesCopy(),
		Servers: shared.serversCopy(),
	}
	if part == partRoutes {
		message.Routes = syncer.readFor(address, part)
	} else {
		message.Servers = syncer.readFor(address, part)
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout(message.Routes.contentBytes()+message.Servers.contentBytes()))
	defer cancel()
	requestedAt := shared.clock.Now()
	reply, err := syncer.send(ctx, ExchangePush, address, message)
	if err != nil {
		return false
	}
	syncer.recordCopies(address, reply.Routes, reply.Servers)
	syncer.mergeReply(reply, requestedAt)
	return true
}

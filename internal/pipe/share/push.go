package share

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
)

// maxPushes bounds the messages of one push to a peer. The second one is for a peer whose copy was not the one that the
// difference belongs to.
const maxPushes = 3

// push passes on what this entry has received of the store, and reports whether a round of exchanges has to follow at
// once.
//
// Among few entries, a round does it. Among many, a round carries far more than the change, so an aggregator sends the
// change alone, to the other aggregators and to the entries that send heartbeats to it, except to those that have it.
// A change so takes three messages to reach every entry: from the entry that read it to its aggregator, to the other
// aggregators, and to their entries.
func (syncer *Syncer) push(ctx context.Context) bool {
	fleet := syncer.shared.Fleet()
	if len(fleet.Alive()) <= fewEntries {
		return true
	}
	now := syncer.shared.clock.Now()
	for _, address := range syncer.pushTargets(fleet) {
		if syncer.isReachable(address, now) && syncer.lacksChange(address) && syncer.beginPush(address) {
			syncer.exchanges.Go(func() { syncer.pushTo(ctx, address) })
		}
	}
	if address := syncer.newerPeer.Swap(""); address != "" && syncer.beginExchange(address) {
		syncer.exchanges.Go(func() { syncer.exchangeWith(ctx, cluster.Target{Address: address}, messageContent{}) })
	}
	storeUnreachable := syncer.shared.failingParts.Load() > 0
	return storeUnreachable != syncer.sentStoreUnreachable
}

// pushTargets returns the addresses of the entries to which this entry passes changes on.
func (syncer *Syncer) pushTargets(fleet cluster.Fleet) []string {
	var addresses []string
	add := func(member cluster.Member) {
		if member.Address != syncer.shared.Cluster().Self().Address {
			addresses = append(addresses, member.Address)
		}
	}
	for _, member := range syncer.shared.Cluster().Reporters() {
		add(member)
	}
	if fleet.IsAggregator() {
		for _, member := range fleet.Aggregators() {
			add(member)
		}
		return addresses
	}
	for _, target := range fleet.Targets(func(address string) bool { return syncer.isReachable(address, syncer.shared.clock.Now()) }) {
		addresses = append(addresses, target.Address)
	}
	return addresses
}

// lacksChange reports whether the peer at an address last had an older copy of a part of the store than this entry.
func (syncer *Syncer) lacksChange(address string) bool {
	status, shared := syncer.peers.Load()[address], syncer.shared
	routes, servers := shared.routes.Load(), shared.serverList.Load()
	return routes.Revision > status.routes.Revision && routes.Value.Digest != status.routes.Digest ||
		servers.Revision > status.servers.Revision && servers.Value.Digest != status.servers.Digest
}

// beginPush marks a push to an address as in progress, and returns false if there already is one.
func (syncer *Syncer) beginPush(address string) bool {
	return syncer.updatePeer(address, func(status peerStatus) (peerStatus, bool) {
		begun := !status.pushing
		status.pushing = true
		return status, begun
	})
}

// pushTo sends the peer at an address the changes that it lacks, and those that arrive meanwhile. A peer that does not
// answer, or still lacks them after maxPushes messages, gets them in the next exchange.
func (syncer *Syncer) pushTo(ctx context.Context, address string) {
	sent := syncer.revisions()
	for range maxPushes {
		sent = syncer.revisions()
		if !syncer.lacksChange(address) || !syncer.pushOnce(ctx, address) {
			break
		}
	}
	syncer.updatePeer(address, func(status peerStatus) (peerStatus, bool) {
		status.pushing = false
		return status, true
	})
	if syncer.revisions() != sent && syncer.lacksChange(address) {
		syncer.shared.requestPush()
	}
}

// revisions returns the revisions of this entry's copies of the configuration and of the list of servers.
func (syncer *Syncer) revisions() [2]int64 {
	return [2]int64{syncer.shared.routes.Load().Revision, syncer.shared.serverList.Load().Revision}
}

// pushOnce sends one message with the changes that the peer at an address lacks, and reports whether it has them now.
func (syncer *Syncer) pushOnce(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	shared, status := syncer.shared, syncer.peers.Load()[address]
	requestedAt := shared.clock.Now()
	message := StateMessage{
		Sender:  cluster.EntryState{Member: shared.Cluster().Self().Member, LeavingServers: shared.Cluster().Self().LeavingServers},
		IsPush:  true,
		Routes:  shared.routesFor(status.routes),
		Servers: shared.serversFor(status.servers),
	}
	reply, err := syncer.send(ctx, ExchangePush, address, message)
	if err != nil {
		return false
	}
	syncer.recordCopies(address, reply.Routes, reply.Servers)
	syncer.mergeReply(reply, requestedAt)
	return true
}

package share

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
)

// messageContent selects the optional content of a message.
type messageContent struct {
	// storeContent adds what was read from the store.
	storeContent bool
	// usage adds the entry's own usage counts.
	usage bool
	// peerUsage adds the usage counts of other entries to messages to the leader.
	peerUsage bool
}

// stateMessage returns the message for a peer, without the members that the peer already has.
func (syncer *Syncer) stateMessage(target cluster.Target, content messageContent) StateMessage {
	shared := syncer.shared
	state, fleet, now := shared.Cluster(), shared.Fleet(), shared.clock.Now()
	message := StateMessage{
		Sender:        state.Self(),
		IsHeartbeat:   target.SendHeartbeat,
		MemberDigests: state.MemberDigests(),
		Routes:        shared.routesCopy(),
		Servers:       shared.serversCopy(),
	}
	if status := syncer.peers.Load()[target.Address]; content.storeContent {
		message.Routes, _ = shared.routesFor(status.routes).inline()
		message.Servers, _ = shared.serversFor(status.servers).inline()
	}
	if content.usage {
		asOf := shared.WallTime() // before the counts, which so have all requests up to this time
		message.Usage = []cluster.Usage{{ID: state.Self().ID(), Counts: syncer.entry.Usage().Recent(usageWindows), AsOf: asOf}}
	}
	if target.SendHeartbeat {
		message.MemberLists = state.ReceivedMemberLists(now)
	}
	message.Aggregates = state.Aggregates(fleet.IsAggregator())
	for i, aggregate := range message.Aggregates {
		if aggregate.MemberDigest == syncer.peers.Load()[target.Address].memberDigest {
			message.Aggregates[i] = aggregate.WithoutMembers()
		}
	}
	if leader, ok := fleet.Leader(); ok && leader.Address == target.Address && content.peerUsage {
		for _, entry := range state.Usage() {
			message.Usage = append(message.Usage, cluster.Usage{ID: entry.ID, Counts: entry.Counts.Recent(usageWindows), AsOf: entry.AsOf})
		}
	}
	return message
}

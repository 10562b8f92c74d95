package share

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
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

// stateMessage returns the message for a peer.
func (syncer *Exchange) stateMessage(target neighbour.Target, content messageContent) Statement {
	shared := syncer.shared
	state, fleet, now := shared.Neighbours(), shared.Fleet(), shared.clock.Now()
	message := Statement{
		Sender:  state.Self(),
		Reports: target.Reports,
		Rosters: state.Rosters(),
		Routes:  cachedReadFor(shared, shared.routes, Holding{}),
		Servers: cachedReadFor(shared, shared.serverList, Holding{}),
	}
	if !content.storeContent {
		message.Routes.Content, message.Servers.Content = nil, nil
	}
	if content.usage {
		message.Usage = []neighbour.Usage{{ID: state.Self().ID(), Counts: syncer.entry.Usage().Recent(usageWindows)}}
	}
	if target.Reports {
		message.Rolls = state.Heard(now)
	}
	message.Groups = state.Sums(fleet.IsRelay())
	for i, aggregate := range message.Groups {
		if aggregate.Roster == syncer.peers.Load()[target.Address].memberDigest {
			message.Groups[i] = aggregate.WithoutMembers()
		}
	}
	if leader, ok := fleet.Holder(); ok && leader.Address == target.Address && content.peerUsage {
		for _, entry := range state.Usage() {
			message.Usage = append(message.Usage, neighbour.Usage{ID: entry.ID, Counts: entry.Counts.Recent(usageWindows)})
		}
	}
	return message
}

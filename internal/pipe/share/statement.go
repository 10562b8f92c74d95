package share

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
)

// messageContent is what a statement holds besides what each one does.
type messageContent struct {
	// storeContent tells to push what is known of the store.
	storeContent bool
	// usage tells to add what the entry counted, and others to pass on what others counted to the holder of the duty.
	usage  bool
	peerUsage bool
}

// stateMessage returns what a peer is told.
func (exchange *Exchange) stateMessage(target neighbour.Target, extent messageContent) Statement {
	knowledge := exchange.knowledge
	state, fleet, now := knowledge.Neighbours(), knowledge.Fleet(), knowledge.clock.Now()
	statement := Statement{
		Sender:  state.Self(),
		Reports: target.Reports,
		Rosters: state.Rosters(),
		Routes:  cachedReadFor(knowledge, knowledge.routes, Holding{}),
		Servers: cachedReadFor(knowledge, knowledge.serverList, Holding{}),
	}
	if !extent.storeContent {
		statement.Routes.Content, statement.Servers.Content = nil, nil
	}
	if extent.usage {
		statement.Usage = []neighbour.Usage{{ID: state.Self().ID(), Counts: exchange.reporter.Usage().Recent(usageWindows)}}
	}
	if target.Reports {
		statement.Rolls = state.Heard(now)
	}
	statement.Groups = state.Sums(fleet.IsRelay())
	for i, group := range statement.Groups {
		if group.Roster == exchange.peers.Load()[target.Address].memberDigest {
			statement.Groups[i] = group.WithoutMembers()
		}
	}
	if holder, ok := fleet.Holder(); ok && holder.Address == target.Address && extent.peerUsage {
		for _, record := range state.Usage() {
			statement.Usage = append(statement.Usage, neighbour.Usage{ID: record.ID, Counts: record.Counts.Recent(usageWindows)})
		}
	}
	return statement
}

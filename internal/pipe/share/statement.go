package share

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
)

// extent is what a statement holds besides what each one does.
type extent struct {
	// contents tells to push what is known of the store.
	contents bool
	// usage tells to add what the entry counted, and others to pass on what others counted to the holder of the duty.
	usage  bool
	others bool
}

// statement returns what a peer is told.
func (exchange *Exchange) statement(target neighbour.Target, extent extent) Statement {
	knowledge := exchange.knowledge
	state, fleet, now := knowledge.Neighbours(), knowledge.Fleet(), knowledge.clock.Now()
	statement := Statement{
		Sender:  state.Self(),
		Reports: target.Reports,
		Rosters: state.Rosters(),
		Routes:  holding(knowledge, knowledge.routes, Holding{}),
		Servers: holding(knowledge, knowledge.listing, Holding{}),
	}
	if !extent.contents {
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
		if group.Roster == exchange.peers.Load()[target.Address].roster {
			statement.Groups[i] = group.WithoutMembers()
		}
	}
	if holder, ok := fleet.Holder(); ok && holder.Address == target.Address && extent.others {
		for _, record := range state.Usage() {
			statement.Usage = append(statement.Usage, neighbour.Usage{ID: record.ID, Counts: record.Counts.Recent(usageWindows)})
		}
	}
	return statement
}

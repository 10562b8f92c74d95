package share

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
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
func (syncer *Syncer) statement(target cluster.Target, extent extent) StateMessage {
	knowledge := syncer.knowledge
	state, fleet, now := knowledge.Cluster(), knowledge.Fleet(), knowledge.clock.Now()
	statement := StateMessage{
		Sender:        state.Self(),
		IsHeartbeat:   target.SendHeartbeat,
		MemberDigests: state.MemberDigests(),
		Routes:        holding(knowledge, knowledge.routes, CachedRead{}),
		Servers:       holding(knowledge, knowledge.listing, CachedRead{}),
	}
	if !extent.contents {
		statement.Routes.Content, statement.Servers.Content = nil, nil
	}
	if extent.usage {
		statement.Usage = []cluster.Usage{{ID: state.Self().ID(), Counts: syncer.reporter.Usage().Recent(usageWindows)}}
	}
	if target.SendHeartbeat {
		statement.MemberLists = state.ReceivedMemberLists(now)
	}
	statement.Aggregates = state.Aggregates(fleet.IsAggregator())
	for i, group := range statement.Aggregates {
		if group.MemberDigest == syncer.peers.Load()[target.Address].roster {
			statement.Aggregates[i] = group.WithoutMembers()
		}
	}
	if holder, ok := fleet.Leader(); ok && holder.Address == target.Address && extent.others {
		for _, record := range state.Usage() {
			statement.Usage = append(statement.Usage, cluster.Usage{ID: record.ID, Counts: record.Counts.Recent(usageWindows)})
		}
	}
	return statement
}

package serve

import (
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

// Partition returns the part of the slots that this entry may use, from the number of live entries and its position
// among them in name order.
func (gossipNode *gossipNode) Partition() account.Partition {
	state := gossipNode.state.Load()
	live := state.View().Live()
	index, found := slices.BinarySearch(live, state.Self().Name)
	if !found {
		// A leaving entry is not among the live ones, but still finishes its accepted requests. It counts
		// itself as one more entry.
		return account.Partition{Entries: len(live) + 1, Index: len(live)}
	}
	return account.Partition{Entries: len(live), Index: index}
}

// demandSync exchanges the demand of client accounts with peers, so that each limit is divided between the
// entries by demand.
type demandSync struct {
	admission *request.Admission
	// countedEntries holds the sorted names of the entries whose demand is counted, including this entry.
	countedEntries *rcu.Cell[[]string]
}

func newDemandSync(gossipNode *gossipNode) *demandSync {
	name := gossipNode.state.Load().Self().Name
	return &demandSync{admission: request.NewAdmission(name, gossipNode), countedEntries: rcu.New([]string(nil))}
}

// sync records the demand that live peers reported, removes the demand of peers that are no longer live, and
// returns this entry's demand as items to publish.
func (demandSync *demandSync) sync(state membership.State, now time.Time) []membership.Item {
	live := state.View().Live()
	for _, name := range demandSync.countedEntries.Load() {
		if _, found := slices.BinarySearch(live, name); !found {
			demandSync.admission.RemovePeer(name)
		}
	}
	demandSync.countedEntries.Store(live)
	for _, name := range live {
		if name != state.Self().Name {
			demandSync.admission.RecordPeerDemand(name, reportedDemands(state, name, now))
		}
	}
	var items []membership.Item
	for account, demand := range demandSync.admission.Rebalance() {
		items = append(items, peer.EncodeDemand(account, demand))
	}
	return items
}

// reportedDemands returns the demand that an entry reported, in requests per second by client account.
func reportedDemands(state membership.State, name string, now time.Time) map[string]float64 {
	reported := map[string]float64{}
	member, _ := state.View().Member(name)
	for _, item := range state.Table().ItemsOf(member.ID(), now) {
		if item.Kind != membership.KindDemand {
			continue
		}
		if demand, ok := peer.DecodeDemand(item); ok {
			reported[item.Key] = demand
		}
	}
	return reported
}

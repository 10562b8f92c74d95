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

// Partition returns the number of live entries and this entry's place among them by name.
func (gossipNode *gossipNode) Partition() account.Partition {
	state := gossipNode.state.Load()
	live := state.View().Live()
	index, found := slices.BinarySearch(live, state.Self().Name)
	if !found {
		// An entry that leaves still finishes its work and counts as one more.
		return account.Partition{Entries: len(live) + 1, Index: len(live)}
	}
	return account.Partition{Entries: len(live), Index: index}
}

// limits exchanges the demand of client accounts with peers, so that the shares of a limit follow it.
type limits struct {
	admission *request.Admission
	// heard names the peers whose demand is counted.
	heard *rcu.Cell[[]string]
}

func newLimits(gossipNode *gossipNode) *limits {
	name := gossipNode.state.Load().Self().Name
	return &limits{admission: request.NewAdmission(name, gossipNode), heard: rcu.New([]string(nil))}
}

// report takes in what peers reported and returns this entry's demand.
func (limits *limits) report(state membership.State, now time.Time) []membership.Item {
	live := state.View().Live()
	for _, name := range limits.heard.Load() {
		if _, found := slices.BinarySearch(live, name); !found {
			limits.admission.RemovePeer(name)
		}
	}
	limits.heard.Store(live)
	for _, name := range live {
		if name != state.Self().Name {
			limits.admission.RecordPeerDemand(name, demands(state, name, now))
		}
	}
	var items []membership.Item
	for account, demand := range limits.admission.Rebalance() {
		items = append(items, peer.EncodeDemand(account, demand))
	}
	return items
}

// demands returns what an entry reported, by client account in requests per second.
func demands(state membership.State, name string, now time.Time) map[string]float64 {
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

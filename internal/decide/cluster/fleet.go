package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entriesPerAggregator is the number of entries for which there is one aggregator. An aggregator answers
// about that many entries, and each other aggregator, once a round.
const entriesPerAggregator = 24

// Fleet is the live entries at one moment, with the roles that some of them have: aggregator, leader, and
// reader of the platform's store.
type Fleet struct {
	self Member
	// alive are the live entries ordered by name, and ranked the same entries in order of preference for a role.
	alive  []Member
	ranked []Member
}

// Target is an entry with which this entry exchanges messages.
type Target struct {
	Address string
	// SendHeartbeat reports whether the target is the aggregator to which this entry sends its heartbeats.
	SendHeartbeat bool
}

// Fleet returns the live entries at the time now of the boot clock.
func (state State) Fleet(now time.Duration) Fleet {
	return state.NextFleet(Fleet{}, now)
}

// NextFleet is [State.Fleet] for an entry that knows the fleet at an earlier time. The order of preference is that of the
// earlier one if the same entries are alive, since sorting them is most of the cost.
func (state State) NextFleet(previous Fleet, now time.Duration) Fleet {
	alive := state.WithoutExpired(now).alive(now)
	if slices.Equal(alive, previous.alive) && previous.self == state.self.Member {
		return previous
	}
	ranked := slices.Clone(alive)
	slices.SortFunc(ranked, compareRank)
	return Fleet{self: state.self.Member, alive: alive, ranked: ranked}
}

// Alive returns the latest incarnations of the live entries, this one included, ordered by name.
// The caller must not change them.
func (fleet Fleet) Alive() []Member { return fleet.alive }

// Contains reports whether a live entry has the name.
func (fleet Fleet) Contains(name string) bool {
	_, found := slices.BinarySearchFunc(fleet.alive, name, func(member Member, name string) int { return cmp.Compare(member.Name, name) })
	return found
}

// Rank returns the place of this entry in the order of preference for a role, 0 for the first.
func (fleet Fleet) Rank() int {
	return slices.IndexFunc(fleet.ranked, func(member Member) bool { return member.Name == fleet.self.Name })
}

// StoreReadRank returns the rank of this entry for reading the platform's store, 0 for the entry that reads
// first.
//
// Entries that cannot reach the store come after all others.
func (fleet Fleet) StoreReadRank() int {
	rank := 0
	for _, member := range fleet.ranked {
		if member.Name == fleet.self.Name {
			break
		}
		if !member.StoreUnreachable {
			rank++
		}
	}
	if !fleet.self.StoreUnreachable {
		return rank
	}
	return len(fleet.ranked) - 1
}

// StoreUnreachable returns the names of the live entries other than this one that report that they cannot reach the platform's store.
func (fleet Fleet) StoreUnreachable() []string {
	var names []string
	for _, member := range fleet.alive {
		if member.StoreUnreachable && member.Name != fleet.self.Name {
			names = append(names, member.Name)
		}
	}
	return names
}

// Aggregators returns the aggregators in order of rank. The caller must not change them.
func (fleet Fleet) Aggregators() []Member {
	return fleet.ranked[:(len(fleet.ranked)+entriesPerAggregator-1)/entriesPerAggregator]
}

// IsAggregator reports whether this entry is an aggregator.
func (fleet Fleet) IsAggregator() bool { return fleet.HasAggregator(fleet.self.Name) }

// HasAggregator reports whether the entry with the name is an aggregator.
func (fleet Fleet) HasAggregator(name string) bool {
	return slices.ContainsFunc(fleet.Aggregators(), func(aggregator Member) bool { return aggregator.Name == name })
}

// Leader returns a live entry other than this one that reports itself as the leader, or false if there is none.
func (fleet Fleet) Leader() (Member, bool) {
	i := slices.IndexFunc(fleet.alive, func(member Member) bool { return member.IsLeader && member.Name != fleet.self.Name })
	if i < 0 {
		return Member{}, false
	}
	return fleet.alive[i], true
}

// Targets returns the entries with which this entry exchanges messages in a round.
//
// An aggregator exchanges with all other aggregators, and with the leader, which
// needs the usage counts of all entries. Any other entry sends its heartbeat to the
// first aggregator that it can reach, in its own order of preference. If it can reach
// none, it sends the heartbeat to the highest-ranked entry that it can reach and that
// ranks above it, so that two entries never send heartbeats to each other.
func (fleet Fleet) Targets(isReachable func(address string) bool) []Target {
	if fleet.IsAggregator() {
		return fleet.aggregatorTargets(isReachable)
	}
	for _, candidate := range append(fleet.preferredAggregators(), fleet.ranked...) {
		if candidate.Name == fleet.self.Name {
			return nil // The remaining entries rank below this one and send their heartbeats to it.
		}
		if isReachable(candidate.Address) {
			return []Target{{Address: candidate.Address, SendHeartbeat: true}}
		}
	}
	return nil
}

func (fleet Fleet) aggregatorTargets(isReachable func(address string) bool) []Target {
	var targets []Target
	add := func(member Member) {
		target := Target{Address: member.Address}
		if member.Name != fleet.self.Name && isReachable(member.Address) && !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	for _, aggregator := range fleet.Aggregators() {
		add(aggregator)
	}
	if leader, ok := fleet.Leader(); ok {
		add(leader)
	}
	return targets
}

// preferredAggregators returns the aggregators in this entry's order of preference. The order differs
// between entries, so that each aggregator receives the heartbeats of about as many entries.
func (fleet Fleet) preferredAggregators() []Member {
	weight := func(aggregator Member) uint64 { return xxhash.Sum64String(fleet.self.Name + "/" + aggregator.Name) }
	return slices.SortedFunc(slices.Values(fleet.Aggregators()), func(a, b Member) int {
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
}

package cluster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// groupSize is how many entries there are for each relay. A relay answers each of
// them, and each other relay, once a round.
const groupSize = 24

// Fleet is the live entries at a moment, and who does what for all.
type Fleet struct {
	self Member
	// alive is the entries by name, and ranked those for the work that some do for all, the first one first.
	alive  []Member
	ranked []Member
}

// Target is an entry to exchange with.
type Target struct {
	Address string
	// SendHeartbeat tells that this entry reports to the other one.
	SendHeartbeat bool
}

// Fleet returns the live entries as this one knows them.
func (state State) Fleet(now time.Duration) Fleet {
	alive := state.WithTime(now).alive(now)
	ranked := slices.Clone(alive)
	slices.SortFunc(ranked, compareRank)
	return Fleet{self: state.self.Member, alive: alive, ranked: ranked}
}

// Alive returns the newest incarnations of the live entries, the own one included, by name.
// The caller must not change them.
func (fleet Fleet) Alive() []Member { return fleet.alive }

// ReadRank returns the place of this entry for reading the platform's store, 0 for the first.
//
// Entries that do not reach the store come after all others.
func (fleet Fleet) ReadRank() int {
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

// Aggregators returns the entries that others report to, the first one first. The caller must not change them.
func (fleet Fleet) Aggregators() []Member {
	return fleet.ranked[:(len(fleet.ranked)+groupSize-1)/groupSize]
}

// IsAggregator reports whether other entries report to this one.
func (fleet Fleet) IsAggregator() bool {
	return slices.ContainsFunc(fleet.Aggregators(), func(relay Member) bool { return relay.Name == fleet.self.Name })
}

// Leader returns the live entry that says that it holds the duty, unless it is this one.
func (fleet Fleet) Leader() (Member, bool) {
	at := slices.IndexFunc(fleet.alive, func(member Member) bool { return member.IsLeader && member.Name != fleet.self.Name })
	if at < 0 {
		return Member{}, false
	}
	return fleet.alive[at], true
}

// Targets returns the entries to exchange with in a round.
//
// A relay exchanges with all other relays, and with the holder of the duty, who
// needs what the others counted. Any other entry reports to the first of its
// relays that it reaches, or else to the first entry that it reaches, by rank. Two
// entries never report to each other.
func (fleet Fleet) Targets(reached func(address string) bool) []Target {
	if fleet.IsAggregator() {
		return fleet.relayTargets(reached)
	}
	for _, relay := range append(fleet.preferred(), fleet.ranked...) {
		if relay.Name == fleet.self.Name {
			return nil // The others that are reached come after this one, and report to it.
		}
		if reached(relay.Address) {
			return []Target{{Address: relay.Address, SendHeartbeat: true}}
		}
	}
	return nil
}

func (fleet Fleet) relayTargets(reached func(address string) bool) []Target {
	var targets []Target
	add := func(member Member) {
		target := Target{Address: member.Address}
		if member.Name != fleet.self.Name && reached(member.Address) && !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	for _, relay := range fleet.Aggregators() {
		add(relay)
	}
	if holder, ok := fleet.Leader(); ok {
		add(holder)
	}
	return targets
}

// preferred returns the relays in the order in which this entry reports to them, so that
// each has about as many entries.
func (fleet Fleet) preferred() []Member {
	weight := func(relay Member) uint64 { return xxhash.Sum64String(fleet.self.Name + "/" + relay.Name) }
	return slices.SortedFunc(slices.Values(fleet.Aggregators()), func(one, other Member) int {
		if weight(one) > weight(other) {
			return -1
		}
		return 1
	})
}

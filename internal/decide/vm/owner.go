package vm

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the live entry that leads a shard, and false when no entry is live.
func Owner(view View, shard int) (Member, bool) {
	var owner Member
	var highest uint64
	for i, member := range view.Live() {
		if weight := weight(member.Name, shard); i == 0 || weight > highest {
			owner, highest = member, weight
		}
	}
	return owner, len(view.Live()) > 0
}

// Successors returns up to n live entries in the order in which they lead a shard, the owner first.
func Successors(view View, shard, n int) []Member {
	type candidate struct {
		member Member
		weight uint64
	}
	candidates := make([]candidate, 0, len(view.Live()))
	for _, member := range view.Live() {
		candidates = append(candidates, candidate{member, weight(member.Name, shard)})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	members := make([]Member, 0, min(n, len(candidates)))
	for _, candidate := range candidates[:min(n, len(candidates))] {
		members = append(members, candidate.member)
	}
	return members
}

// weight depends on the name only, so that a restarted entry gets its shards back.
func weight(name string, shard int) uint64 {
	text := make([]byte, 0, 64)
	text = append(text, name...)
	text = append(text, 0)
	text = strconv.AppendInt(text, int64(shard), 10)
	return xxhash.Sum64(text)
}

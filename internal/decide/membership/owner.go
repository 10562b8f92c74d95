package membership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the live entry that owns a shard, or false if no entry is live.
func Owner(view View, shard int) (Member, bool) {
	var owner string
	var highest uint64
	for i, name := range view.Live() {
		if weight := weight(name, shard); i == 0 || weight > highest {
			owner, highest = name, weight
		}
	}
	return view.Member(owner)
}

// Successors returns up to n live entries in the order in which they take over a shard, the current owner first.
func Successors(view View, shard, n int) []Member {
	type candidate struct {
		name   string
		weight uint64
	}
	candidates := make([]candidate, 0, len(view.Live()))
	for _, name := range view.Live() {
		candidates = append(candidates, candidate{name, weight(name, shard)})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	members := make([]Member, 0, min(n, len(candidates)))
	for _, candidate := range candidates[:min(n, len(candidates))] {
		member, _ := view.Member(candidate.name)
		members = append(members, member)
	}
	return members
}

// weight returns the weight of an entry for a shard; the live entry with the highest weight owns the shard.
// It does not depend on the incarnation, so that a restarted entry gets its shards back.
func weight(name string, shard int) uint64 {
	text := make([]byte, 0, 64)
	text = append(text, name...)
	text = append(text, 0)
	text = strconv.AppendInt(text, int64(shard), 10)
	return xxhash.Sum64(text)
}

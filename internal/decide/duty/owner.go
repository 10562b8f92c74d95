package duty

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// candidates is how many entries may hold a duty. Two in reserve outlast the loss
// of one failure domain together with one more entry, and 420 entries that all
// asked for each duty would use up the calls of the key-value service.
const candidates = 3

// Owner returns the live entry that should hold the duty, and false when no entry is live.
func Owner(view membership.View, duty string) (membership.Member, bool) {
	return membership.Owner(view, shard(duty))
}

// Rank returns the place of an entry among the candidates for a duty, 0 for the owner, and false for other entries.
func Rank(view membership.View, duty, entry string) (int, bool) {
	rank := slices.IndexFunc(membership.Successors(view, shard(duty), candidates), func(member membership.Member) bool { return member.Name == entry })
	return rank, rank >= 0
}

// AcquireDelay returns how long a candidate waits before it asks for the lease that nobody claims.
//
// Each rank waits longer than the one before it, so that the owner is served first
// and a free duty is still taken soon when the owner cannot.
func AcquireDelay(rank int, ttl time.Duration) time.Duration {
	return ttl / 4 * time.Duration(1+rank)
}

// shard numbers duties for the rendezvous hash of package vm, away from the small numbers of booking shards.
func shard(duty string) int {
	return int(xxhash.Sum64String(duty) >> 1)
}

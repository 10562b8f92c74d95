package duty

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// maxCandidates is the number of entries that may become leader of a duty. Two standbys
// survive the loss of one failure domain together with one more entry. If all of 420
// entries requested the lease of each duty, they would use up the call rate of the
// key-value service.
const maxCandidates = 3

// Owner returns the live entry that should lead the duty, or false if no entry is live. It
// requests the lease before the other candidates do.
func Owner(view membership.View, duty string) (membership.Member, bool) {
	return membership.Owner(view, rendezvousNumber(duty))
}

// Rank returns the rank of an entry among the candidates for a duty, 0 for the owner, or
// false if the entry is not a candidate.
func Rank(view membership.View, duty, entry string) (int, bool) {
	rank := slices.IndexFunc(membership.Successors(view, rendezvousNumber(duty), maxCandidates), func(member membership.Member) bool { return member.Name == entry })
	return rank, rank >= 0
}

// AcquireDelay returns the time that a candidate waits before it requests a free lease.
//
// Each rank waits longer than the one before it, so that the owner acquires the
// lease first and another candidate soon acquires it if the owner cannot.
func AcquireDelay(rank int, ttl time.Duration) time.Duration {
	return ttl / 4 * time.Duration(1+rank)
}

// rendezvousNumber returns the number of a duty for rendezvous hashing in package membership.
// It is a 63-bit hash, so it is unlikely to equal one of the small numbers of booking shards.
func rendezvousNumber(duty string) int {
	return int(xxhash.Sum64String(duty) >> 1)
}

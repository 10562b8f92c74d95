package cluster

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is the part of an entry's state that every other entry receives, also through aggregates.
type Member struct {
	Name string
	// Address is the "IP:port" at which peers reach the entry.
	Address string
	// Domain names the entry's failure domain.
	Domain string
	// Incarnation is when the process started, in nanoseconds since 1970.
	Incarnation int64
	// Stopping reports whether the entry is shutting down and accepts no new callers.
	Stopping bool
	// IsLeader reports whether the entry is the leader, which makes the calls to the cloud API.
	IsLeader bool
	// StoreUnreachable reports whether the entry cannot reach the platform's store.
	StoreUnreachable bool
	// Cores is the processor time available to the entry's VM, in cores.
	Cores float64
}

// ID returns "NAME#INCARNATION", with the incarnation in base 36.
func (member Member) ID() string {
	return member.Name + "#" + strconv.FormatInt(member.Incarnation, 36)
}

// compareRank orders entries by preference for the roles in [Fleet]: stopping entries
// come last, and entries with more cores come first.
func compareRank(a, b Member) int {
	if a.Stopping != b.Stopping {
		if a.Stopping {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)),
		cmp.Compare(a.Name, b.Name))
}

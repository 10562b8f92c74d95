package cluster

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is what every entry knows of each live one.
type Member struct {
	Name string
	// Address is "IP:port" for peers.
	Address string
	Domain  string
	// Incarnation is when the process started, in nanoseconds since 1970.
	Incarnation int64
	// Stopping reports that the entry takes no new callers.
	Stopping bool
	// IsLeader reports that the entry holds the duty towards the platform.
	IsLeader bool
	// StoreUnreachable reports that the entry does not reach the platform's store.
	StoreUnreachable bool
	// Cores is the processor time of the entry's VM, in cores.
	Cores float64
}

// ID identifies the incarnation.
func (member Member) ID() string {
	return member.Name + "#" + strconv.FormatInt(member.Incarnation, 36)
}

// compareRank orders entries for the work that some do for all: those that stop
// come last, and strong ones come before weak ones.
func compareRank(one, other Member) int {
	if one.Stopping != other.Stopping {
		if one.Stopping {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(other.Cores, one.Cores),
		cmp.Compare(xxhash.Sum64String(other.Name), xxhash.Sum64String(one.Name)),
		cmp.Compare(one.Name, other.Name))
}

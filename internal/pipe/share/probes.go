package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
)

// probes returns additional entries to exchange state with, so that partitions of the cluster find
// each other again.
//
// In every probeEvery-th round these are the seeds that are not connected to this entry, and one
// live entry at random. An aggregator contacts such seeds in every round.
func (syncer *Syncer) probes(fleet cluster.Fleet, now time.Duration) []cluster.Target {
	alive := addresses(fleet.Alive())
	connected := alive
	if fleet.IsAggregator() {
		// Entries that an aggregator only has in the member list of another one exchange with other aggregators, which it
		// may not know.
		connected = addresses(syncer.shared.Cluster().MemberList(now).Members)
	}
	var seeds []string
	for _, seed := range syncer.seeds.Seeds() {
		if !slices.Contains(connected, seed) && syncer.isReachable(seed, now) {
			seeds = append(seeds, seed)
		}
	}
	isProbeRound := syncer.roundCount%probeEvery == 0
	var targets []cluster.Target
	if fleet.IsAggregator() || isProbeRound {
		for _, seed := range seeds {
			targets = append(targets, cluster.Target{Address: seed})
		}
	}
	alive = slices.DeleteFunc(alive, func(address string) bool { return address == syncer.shared.Cluster().Self().Address })
	if isProbeRound && len(alive) > 0 {
		targets = append(targets, cluster.Target{Address: alive[rand.IntN(len(alive))]})
	}
	return targets
}

func addresses(members []cluster.Member) []string {
	addresses := make([]string, len(members))
	for i, member := range members {
		addresses[i] = member.Address
	}
	return addresses
}

package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
)

// probes returns entries to ask beside the usual ones, so that parts of the fleet which lost
// each other meet again: seeds that are not known to live, which relays ask at once, and at times any entry.
func (syncer *Syncer) probes(fleet cluster.Fleet, now time.Duration) []cluster.Target {
	var alive, seeds []string
	for _, member := range fleet.Alive() {
		alive = append(alive, member.Address)
	}
	for _, seed := range syncer.seeds.Seeds() {
		if !slices.Contains(alive, seed) && syncer.reached(seed, now) {
			seeds = append(seeds, seed)
		}
	}
	turn := syncer.rounds%probeRounds == 0
	var targets []cluster.Target
	if fleet.IsAggregator() || turn {
		for _, seed := range seeds {
			targets = append(targets, cluster.Target{Address: seed})
		}
	}
	alive = slices.DeleteFunc(alive, func(address string) bool { return address == syncer.knowledge.Cluster().Self().Address })
	if turn && len(alive) > 0 {
		targets = append(targets, cluster.Target{Address: alive[rand.IntN(len(alive))]})
	}
	return targets
}

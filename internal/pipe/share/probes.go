package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
)

// probes returns entries to ask beside the usual ones, so that parts of the fleet which lost
// each other meet again: seeds that are not known to live, which relays ask at once, and at times any entry.
func (exchange *Exchange) probes(fleet neighbour.Fleet, now time.Duration) []neighbour.Target {
	var alive, seeds []string
	for _, member := range fleet.Alive() {
		alive = append(alive, member.Address)
	}
	for _, seed := range exchange.seeds.Seeds() {
		if !slices.Contains(alive, seed) && exchange.isReachable(seed, now) {
			seeds = append(seeds, seed)
		}
	}
	turn := exchange.rounds%probeEvery == 0
	var targets []neighbour.Target
	if fleet.IsRelay() || turn {
		for _, seed := range seeds {
			targets = append(targets, neighbour.Target{Address: seed})
		}
	}
	alive = slices.DeleteFunc(alive, func(address string) bool { return address == exchange.knowledge.Neighbours().Self().Address })
	if turn && len(alive) > 0 {
		targets = append(targets, neighbour.Target{Address: alive[rand.IntN(len(alive))]})
	}
	return targets
}

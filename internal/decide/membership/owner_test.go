package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

const shards = 256

// fleet returns a view of a number of live entries in seven failure domains.
func fleet(entries int) membership.View {
	members := make([]membership.Member, entries)
	for i := range members {
		members[i] = membership.Member{
			Origin:    membership.Origin{Name: fmt.Sprintf("entry-%03d", i)},
			Profile:   membership.Profile{Domain: fmt.Sprint(i % 7)},
			Condition: membership.ConditionAlive,
		}
	}
	return membership.View{}.WithMembers(members...)
}

// owners returns the name of the owner of each shard.
func owners(view membership.View) []string {
	names := make([]string, shards)
	for shard := range names {
		owner, _ := membership.Owner(view, shard)
		names[shard] = owner.Name
	}
	return names
}

func differing(a, b []string) int {
	count := 0
	for i := range a {
		if a[i] != b[i] {
			count++
		}
	}
	return count
}

// Guards against an ownership function by which a leave moves shards of entries that stay.
func TestLeaveMovesOnlyItsOwnShardsToTheirSuccessors(t *testing.T) {
	view := fleet(8)
	without := view.Without("entry-003")
	for shard := range shards {
		successors := membership.Successors(view, shard, 2)
		owner, _ := membership.Owner(view, shard)
		assert.Equal(t, successors[0], owner)
		want := successors[0]
		if want.Name == "entry-003" {
			want = successors[1]
		}
		got, _ := membership.Owner(without, shard)
		assert.Equal(t, want, got)
	}
}

// Guards against gossip that stays inside one failure domain, and against an entry that chooses itself as a
// peer.
func TestPeersAreMostlyInOtherDomains(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, entries := range []int{1, 2, 8, 420} {
		for range 100 {
			peers := membership.RandomPeers(fleet(entries), "entry-000", random, 3)
			assert.Len(t, peers, min(3, entries-1))
			sameDomain := slices.DeleteFunc(slices.Clone(peers), func(peer membership.Member) bool { return peer.Domain != "0" })
			assert.LessOrEqual(t, len(sameDomain), 1)
		}
	}
}

// routes maps each shard to a node and moves the fewest shards on a change; it is the alternative to
// rendezvous hashing.
type routes []string

// join gives the new node floor(N/(M+1)) routes, of N routes at M nodes, from the nodes with the most routes.
func (routes routes) join(name string, nodes []string) routes {
	next := slices.Clone(routes)
	for range shards / (len(nodes) + 1) {
		next[slices.Index(next, next.extreme(nodes, 1))] = name
	}
	return next
}

// leave gives the routes of a node, one by one, to the nodes with the fewest routes.
func (routes routes) leave(name string, nodes []string) routes {
	next := slices.Clone(routes)
	for at := slices.Index(next, name); at >= 0; at = slices.Index(next, name) {
		next[at] = next.extreme(nodes, -1)
	}
	return next
}

// extreme returns the node with the most routes for sign 1, and the one with the fewest for sign -1.
func (routes routes) extreme(nodes []string, sign int) string {
	counts := map[string]int{}
	for _, name := range routes {
		counts[name]++
	}
	return slices.MaxFunc(nodes, func(a, b string) int {
		if counts[a] != counts[b] {
			return sign * (counts[a] - counts[b])
		}
		return strings.Compare(b, a)
	})
}

// BenchmarkShardMoves reports the number of shards that move when one entry joins
// or leaves, and the number on which two entries disagree after they received four
// joins and four leaves in different orders. It compares rendezvous hashing (hash-*)
// with a route table (route-*). The figures are means over the choice of the entry
// that joins or leaves.
func BenchmarkShardMoves(b *testing.B) {
	for _, entries := range []int{8, 100, 420} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var join, leave, routeJoin, routeLeave, routeSplit float64
			for b.Loop() {
				join, leave, routeJoin, routeLeave, routeSplit = moves(entries)
			}
			b.ReportMetric(join, "hash-join")
			b.ReportMetric(leave, "hash-leave")
			b.ReportMetric(0, "hash-split")
			b.ReportMetric(routeJoin, "route-join")
			b.ReportMetric(routeLeave, "route-leave")
			b.ReportMetric(routeSplit, "route-split")
		})
	}
}

// moves returns the figures of BenchmarkShardMoves for a number of entries, without the number of shards on
// which entries disagree with rendezvous hashing, which is always 0.
func moves(entries int) (join, leave, routeJoin, routeLeave, routeSplit float64) {
	view := fleet(entries)
	nodes := view.Live()
	before := owners(view)
	table := routes(slices.Repeat(nodes[:1], shards))
	for i := range nodes[1:] {
		table = table.join(nodes[i+1], nodes[:i+1])
	}
	const trials = 8
	for i := range trials {
		gone := nodes[i*entries/trials]
		remaining := slices.DeleteFunc(slices.Clone(nodes), func(name string) bool { return name == gone })
		newcomer := fmt.Sprintf("new-%d", i)
		leave += float64(differing(before, owners(view.Without(gone)))) / trials
		routeLeave += float64(differing(table, table.leave(gone, remaining))) / trials
		join += float64(differing(before, owners(view.WithMembers(membership.Member{Origin: membership.Origin{Name: newcomer}, Condition: membership.ConditionAlive})))) / trials
		routeJoin += float64(differing(table, table.join(newcomer, nodes))) / trials
		random := rand.New(rand.NewPCG(uint64(i), 1))
		routeSplit += float64(differing(table.reordered(nodes, random), table.reordered(nodes, random))) / trials
	}
	return join, leave, routeJoin, routeLeave, routeSplit
}

// reordered returns the routes after four joins and four leaves in a random order.
func (routes routes) reordered(nodes []string, random *rand.Rand) routes {
	next, current := routes, slices.Clone(nodes)
	for _, change := range random.Perm(8) {
		if change < 4 {
			name := fmt.Sprintf("new-%d", change)
			next = next.join(name, current)
			current = append(current, name)
			continue
		}
		gone := nodes[change-4]
		current = slices.DeleteFunc(current, func(name string) bool { return name == gone })
		next = next.leave(gone, current)
	}
	return next
}

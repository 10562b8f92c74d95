package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
)

// herd plays many entries that choose servers by the same, old reports of each other's calls.
type herd struct {
	entries, servers, slots int
	// utilisation is the part of all slots that calls of mean length work take.
	utilisation float64
	work        time.Duration
	// round is the time between reports, and hops how many rounds a report takes.
	round time.Duration
	hops  int
	// sample and weight are those of the entries, see [placement.Query] and [placement.Observation].
	sample int
	weight float64
	// speeds are those of the servers in turn, nil for equal ones, and learns reports whether entries learn the servers' paces.
	speeds []float64
	learns bool
}

// end is the end of a call of an entry at a server.
type end struct {
	at            time.Duration
	entry, server int
	// ratio is the time of the call as a multiple of the mean one.
	ratio float64
}

type ends []end

func (ends ends) Len() int           { return len(ends) }
func (ends ends) Less(i, j int) bool { return ends[i].at < ends[j].at }
func (ends ends) Swap(i, j int)      { ends[i], ends[j] = ends[j], ends[i] }
func (ends *ends) Push(value any)    { *ends = append(*ends, value.(end)) }
func (ends *ends) Pop() any {
	last := (*ends)[len(*ends)-1]
	*ends = (*ends)[:len(*ends)-1]
	return last
}

// run plays the entries for a time, and returns the share of calls that found all slots of their server taken.
func (herd herd) run(random *rand.Rand, length time.Duration) float64 {
	observations := make([][]placement.Observation, herd.entries)
	counts := make([][]int, herd.entries)
	for i := range observations {
		observations[i], counts[i] = make([]placement.Observation, herd.servers), make([]int, herd.servers)
	}
	atServer := make([]int, herd.servers)
	var running ends
	known := estimateOf(herd.work.Seconds()*1000, 1)
	var history [][][]int
	perSecond := herd.utilisation * float64(herd.servers*herd.slots) / herd.work.Seconds()
	calls, delayed := 0, 0
	at, nextReport := time.Duration(0), time.Duration(0)
	for at < length {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		for len(running) > 0 && running[0].at <= at {
			ended := heap.Pop(&running).(end)
			observations[ended.entry][ended.server] = observations[ended.entry][ended.server].WithEnd().WithWork(func(server work.Server) work.Server {
				return server.WithRead(ended.ratio, time.Hour+ended.at)
			})
			counts[ended.entry][ended.server]--
			atServer[ended.server]--
		}
		if at >= nextReport {
			nextReport += herd.round
			history = append(history, cloneCounts(counts))
			if len(history) > herd.hops {
				herd.report(observations, history[len(history)-1-herd.hops])
			}
		}
		entry := random.IntN(herd.entries)
		candidates := make([]placement.Candidate, herd.servers)
		for i := range candidates {
			candidates[i] = placement.Candidate{Server: directory.Server{ID: fmt.Sprint(i), Slots: herd.slots}, Observation: observations[entry][i]}
		}
		query := placement.Query{Now: time.Hour + at, Draw: random.Float64(), Sample: herd.sample}
		if herd.learns {
			query.Work = known
		}
		choice, _ := placement.Choose(candidates, query)
		server := 0
		_, _ = fmt.Sscan(choice.Server.ID, &server)
		calls++
		if atServer[server] >= herd.slots {
			delayed++
		}
		atServer[server]++
		counts[entry][server]++
		observations[entry][server] = observations[entry][server].WithSent(0)
		// A call at a server with all slots taken lasts longer by what has to end before it.
		queue := time.Duration(max(0, atServer[server]-herd.slots)) * herd.work / time.Duration(herd.slots)
		length := queue + time.Duration(random.ExpFloat64()*float64(herd.work))
		if len(herd.speeds) > 0 {
			length = time.Duration(float64(length) / herd.speeds[server%len(herd.speeds)])
		}
		heap.Push(&running, end{at + length, entry, server, length.Seconds() / herd.work.Seconds()})
	}
	return float64(delayed) / float64(calls)
}

// report gives each entry the number of the others' calls at each server.
func (herd herd) report(observations [][]placement.Observation, counts [][]int) {
	for server := range herd.servers {
		total := 0
		for entry := range herd.entries {
			total += counts[entry][server]
		}
		for entry := range herd.entries {
			observations[entry][server] = observations[entry][server].WithPeerCalls(total-counts[entry][server], herd.weight)
		}
	}
}

func cloneCounts(counts [][]int) [][]int {
	clone := make([][]int, len(counts))
	for i := range counts {
		clone[i] = append([]int(nil), counts[i]...)
	}
	return clone
}

// Guards against a herd: where calls are shorter than the reports of other entries' calls take, all entries choose the
// servers that were idle then, and overload these while others idle. With a choice at random, nearly no call would find
// all slots of its server taken at this load, so the bound is the share for that choice plus one in a hundred.
func TestManyEntriesWithOldReportsDoNotMeetAtOneServer(t *testing.T) {
	for _, entries := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			herd := herd{
				entries: entries, servers: 11, slots: 6, utilisation: 0.4, work: 60 * time.Millisecond,
				round: 500 * time.Millisecond, hops: 2, sample: 3, weight: 0.1,
			}
			delayed := herd.run(rand.New(rand.NewPCG(1, 1)), 10*time.Second)
			herd.sample, herd.weight = 1, 0 // The only server of the sample, whatever the reports say.
			atRandom := herd.run(rand.New(rand.NewPCG(1, 1)), 10*time.Second)
			t.Logf("%.4f of the calls find all slots taken, %.4f with a choice at random", delayed, atRandom)
			assert.LessOrEqual(t, delayed, atRandom+0.01)
			herd.sample, herd.weight = 0, 1
			all := herd.run(rand.New(rand.NewPCG(1, 1)), 10*time.Second)
			t.Logf("%.4f of the calls with a comparison of all servers by the last report", all)
		})
	}
}

// Guards against many entries that meet at the fastest plain servers once they have learned the paces, and leave the others idle.
func TestEntriesThatKnowThePacesOfPlainServersDoNotMeetAtTheFastest(t *testing.T) {
	for _, speeds := range [][]float64{{1}, {0.6, 1, 1.6}} {
		for _, entries := range []int{9, 77} {
			t.Run(fmt.Sprint(speeds, entries), func(t *testing.T) {
				herd := herd{
					entries: entries, servers: 3, slots: 6, utilisation: 0.5, work: 120 * time.Millisecond,
					round: 500 * time.Millisecond, hops: 2, sample: 3, weight: 0.1, speeds: speeds,
				}
				if entries == 9 {
					herd.sample, herd.weight, herd.hops = 0, 1, 1
				}
				calls := herd.run(rand.New(rand.NewPCG(1, 1)), 60*time.Second)
				herd.learns = true
				learned := herd.run(rand.New(rand.NewPCG(1, 1)), 60*time.Second)
				t.Logf("%.4f of the calls find all slots taken, %.4f by the number of calls alone", learned, calls)
				assert.LessOrEqual(t, learned, calls+0.01)
			})
		}
	}
}

package cluster

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
)

// Levels are the calls in progress, the demand and the samples of some entries. Unlike totals, which only grow, they are those of a
// moment, so an entry that two aggregates contain would count twice.
type Levels struct {
	// All fields are the sums of those of the same names in [EntryState].
	Running               map[uint32]int
	Demand                map[string]float64
	PrefillSamples        prefill.Counts
	PaceLogs, PaceSamples map[uint32]int
	MovedEntries          map[int64]float64
	ShareFigures          map[uint32]float64
}

// levelReport is the levels of a group of entries, as received from another entry.
type levelReport struct {
	Levels
	// members are the names of the entries, empty if they are not known.
	members []string
	at      time.Duration
}

// OtherLevels returns the levels of all other live entries.
func (state State) OtherLevels(now time.Duration) Levels {
	covered := map[string]bool{state.self.Name: true}
	levels := Levels{}
	if len(state.sessions) > 0 {
		levels = state.sessionSum.Levels()
		cover(covered, state.sessionSum.Members)
	}
	return levels.withReports(state.levelReports("", now), covered)
}

// levelReports returns the live reports that other entries sent, the latest one first, without those that the incarnation
// with the id of the receiver computed, empty for none. While aggregators change, several of them contain the same entries.
func (state State) levelReports(receiverID string, now time.Duration) []levelReport {
	skipped := func(aggregate Aggregate) bool {
		return aggregate.computedBy(state.self.ID()) || receiverID != "" && aggregate.computedBy(receiverID)
	}
	var reports []levelReport
	if reply := state.replyReport(now); !slices.ContainsFunc(state.aggregatorReply.value, func(aggregate Aggregate) bool {
		return aggregate.HasSums() && skipped(aggregate)
	}) {
		reports = append(reports, reply)
	}
	for _, aggregate := range state.aggregates {
		if aggregate.value.HasSums() && aggregate.within(livenessTimeout, now) && !skipped(aggregate.value) {
			reports = append(reports, levelReport{Levels: aggregate.value.Levels(), members: memberNames(aggregate.value.Members), at: aggregate.at})
		}
	}
	slices.SortStableFunc(reports, func(a, b levelReport) int { return cmp.Compare(b.at, a.at) })
	return reports
}

// replyReport returns the last reply of this entry's aggregator as one report: its first aggregate has the sums of all
// entries, and each aggregate the names of its own members. The sums leave out this entry, although it is a member.
func (state State) replyReport(now time.Duration) levelReport {
	report := levelReport{Levels: Levels{}.cloned(), at: state.aggregatorReply.at}
	for _, aggregate := range state.aggregatorReply.value {
		if !state.aggregatorReply.within(livenessTimeout-aggregate.Age, now) {
			continue
		}
		report.add(aggregate.Levels(), 1)
		report.members = append(report.members, memberNames(aggregate.Members)...)
	}
	report.members = slices.DeleteFunc(report.members, func(name string) bool { return name == state.self.Name })
	return report
}

// Levels returns the levels of the entries that the aggregate adds up.
func (aggregate Aggregate) Levels() Levels {
	return Levels{
		Running: aggregate.Running, Demand: aggregate.Demand, PrefillSamples: aggregate.PrefillSamples,
		PaceLogs: aggregate.PaceLogs, PaceSamples: aggregate.PaceSamples, MovedEntries: aggregate.MovedEntries, ShareFigures: aggregate.ShareFigures,
	}
}

// withReports returns the levels with those of the reports added, of each one the part of its entries that are not covered
// yet. It adds the entries to covered.
//
// An aggregator does this for each heartbeat, so the sums are copied once, not for each report.
func (levels Levels) withReports(reports []levelReport, covered map[string]bool) Levels {
	sum := levels.cloned()
	for _, report := range reports {
		known, fresh := map[string]bool{}, 0
		for _, name := range report.members {
			if !known[name] && !covered[name] {
				fresh++
			}
			known[name] = true
		}
		share := 1.0
		if len(known) > 0 {
			share = float64(fresh) / float64(len(known))
		}
		sum.add(report.Levels, share)
		for name := range known {
			covered[name] = true
		}
	}
	return sum
}

// add adds a share of others to levels that no one else has yet.
func (levels Levels) add(others Levels, share float64) {
	if share == 0 {
		return
	}
	addCounts(levels.Running, others.Running, share)
	addCounts(levels.PaceLogs, others.PaceLogs, share)
	addCounts(levels.PaceSamples, others.PaceSamples, share)
	addCounts(levels.PrefillSamples, others.PrefillSamples, share)
	addAmounts(levels.Demand, others.Demand, share)
	addAmounts(levels.MovedEntries, others.MovedEntries, share)
	addAmounts(levels.ShareFigures, others.ShareFigures, share)
}

// addCounts adds a share of the counts of others to sums, each rounded to a whole count.
func addCounts[K comparable](sums, others map[K]int, share float64) {
	for key, count := range others {
		sums[key] += int(math.Round(share * float64(count)))
	}
}

// addAmounts adds a share of the amounts of others to sums.
func addAmounts[K comparable](sums, others map[K]float64, share float64) {
	for key, amount := range others {
		sums[key] += share * amount
	}
}

// cloned returns a copy whose maps are never nil.
func (levels Levels) cloned() Levels {
	return Levels{
		Running: cloned(levels.Running), Demand: cloned(levels.Demand), PrefillSamples: cloned(levels.PrefillSamples),
		PaceLogs: cloned(levels.PaceLogs), PaceSamples: cloned(levels.PaceSamples), MovedEntries: cloned(levels.MovedEntries), ShareFigures: cloned(levels.ShareFigures),
	}
}

// cloned returns a copy of a map, which is never nil.
func cloned[K comparable, V any](values map[K]V) map[K]V {
	clone := make(map[K]V, len(values))
	maps.Copy(clone, values)
	return clone
}

func cover(covered map[string]bool, members []Member) {
	for _, member := range members {
		covered[member.Name] = true
	}
}

func memberNames(members []Member) []string {
	names := make([]string, len(members))
	for i, member := range members {
		names[i] = member.Name
	}
	return names
}

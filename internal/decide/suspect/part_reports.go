package suspect

import (
	"cmp"
	"slices"
)

// PartReport reports a crash with a part, or, with an empty Crash.Server, that a request with it was answered at Crash.At.
type PartReport struct {
	Part  PartFingerprint
	Crash PartCrash
}

// answerShare is the part of the reports that is kept for answers. Crashes without them would make other entries refuse sound parts.
const answerShare = 0.25

// Reports returns at most limit reports for other entries: the crashes of the parts with the most of them since their last answer, and
// the answers to requests with the parts that had the most crashes before.
//
// The parts of sound requests are cleared after each crash. Were their earlier crashes counted too, they would displace the part that
// causes the crashes.
func (tracker PartTracker) Reports(limit int) []PartReport {
	crashes, answers := tracker.crashReports(), tracker.answerReports()
	kept := min(len(answers), max(limit-len(crashes), int(answerShare*float64(limit))))
	return append(crashes[:min(limit-kept, len(crashes))], answers[:kept]...)
}

// crashReports returns the reports of all crashes, those of the parts with the most evidence first.
func (tracker PartTracker) crashReports() []PartReport {
	var reports []PartReport
	counts := make(map[PartFingerprint]int, len(tracker.records))
	for part, record := range tracker.records {
		counts[part] = record.count()
		for _, crash := range record.crashes {
			reports = append(reports, PartReport{Part: part, Crash: crash})
		}
	}
	slices.SortFunc(reports, func(a, b PartReport) int {
		return cmp.Or(cmp.Compare(counts[b.Part], counts[a.Part]), b.Crash.At.Compare(a.Crash.At), cmp.Compare(a.Part, b.Part))
	})
	return reports
}

// answerReports returns the reports of answers after crashes, those of the parts with the most crashes first.
func (tracker PartTracker) answerReports() []PartReport {
	var reports []PartReport
	for part, record := range tracker.records {
		if record.cleared > 0 {
			reports = append(reports, PartReport{Part: part, Crash: PartCrash{At: record.answeredAt}})
		}
	}
	slices.SortFunc(reports, func(a, b PartReport) int {
		return cmp.Or(cmp.Compare(tracker.weight(b.Part), tracker.weight(a.Part)), b.Crash.At.Compare(a.Crash.At), cmp.Compare(a.Part, b.Part))
	})
	return reports
}

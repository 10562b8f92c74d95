package share

import (
	"fmt"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
)

// maxRolloutCounts bounds the counts of roll-outs in a message: two for each route and order.
const maxRolloutCounts = 8192

func encodeEvidence(totals rollout.Totals) []*RolloutCounts {
	var encoded []*RolloutCounts
	for key, counts := range totals {
		encoded = append(encoded, &RolloutCounts{
			Order: key.Order, Route: key.Route, IsNew: key.Side == rollout.SideNew,
			Answers: counts.Answers, Failed: counts.Failed, Compared: counts.Compared, Slow: counts.Slow,
			FirstCount: counts.First.Count, FirstLogs: counts.First.Logs, PaceCount: counts.Pace.Count, PaceLogs: counts.Pace.Logs,
		})
	}
	return encoded
}

func decodeEvidence(encoded []*RolloutCounts) rollout.Totals {
	var totals rollout.Totals
	for _, counts := range encoded {
		if totals == nil {
			totals = make(rollout.Totals, len(encoded))
		}
		side := rollout.SideOld
		if counts.GetIsNew() {
			side = rollout.SideNew
		}
		totals[rollout.Key{Order: counts.GetOrder(), Route: counts.GetRoute(), Side: side}] = rollout.Counts{
			Answers: counts.GetAnswers(), Failed: counts.GetFailed(), Compared: counts.GetCompared(), Slow: counts.GetSlow(),
			First: rollout.Sample{Count: counts.GetFirstCount(), Logs: counts.GetFirstLogs()},
			Pace:  rollout.Sample{Count: counts.GetPaceCount(), Logs: counts.GetPaceLogs()},
		}
	}
	return totals
}

func encodeMoved(moved map[int64]float64) []*RolloutMoved {
	var encoded []*RolloutMoved
	for order, entries := range moved {
		encoded = append(encoded, &RolloutMoved{Order: order, Entries: entries})
	}
	return encoded
}

func decodeMoved(encoded []*RolloutMoved) map[int64]float64 {
	var moved map[int64]float64
	for _, entry := range encoded {
		if moved == nil {
			moved = make(map[int64]float64, len(encoded))
		}
		moved[entry.GetOrder()] = max(0, entry.GetEntries())
	}
	return moved
}

// checkRollouts returns an error if the counts of roll-outs are not those of a sound entry.
func checkRollouts(field string, work *Work) error {
	if count := max(len(work.GetRolloutCounts()), len(work.GetRolloutMoved())); count > maxRolloutCounts {
		return fmt.Errorf("%s: %d counts of roll-outs, more than %d", field, count, maxRolloutCounts)
	}
	for _, counts := range work.GetRolloutCounts() {
		for _, number := range []float64{
			counts.GetAnswers(), counts.GetFailed(), counts.GetCompared(), counts.GetSlow(),
			counts.GetFirstCount(), counts.GetFirstLogs(), counts.GetPaceCount(), counts.GetPaceLogs(),
		} {
			if !isAmount(number) {
				return fmt.Errorf("%s: a count of a roll-out is %v", field, number)
			}
		}
	}
	for _, moved := range work.GetRolloutMoved() {
		if !isAmount(moved.GetEntries()) {
			return fmt.Errorf("%s: %v entries have moved", field, moved.GetEntries())
		}
	}
	return nil
}

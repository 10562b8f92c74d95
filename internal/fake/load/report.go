package load

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Report holds the results of a load, by [Work.Name].
type Report map[string]*Samples

// Samples are the results of one kind of work. Each list is sorted and covers the answered requests only.
type Samples struct {
	// First is the time from arrival to the first token, or to the answer of a plain service.
	First []time.Duration
	// Total is the time from arrival to the end of the answer.
	Total []time.Duration
	// Gaps are the times between consecutive chunks, divided by the tokens in the later chunk.
	Gaps []time.Duration
	// Answered, Refused and Failed count the requests by outcome.
	Answered, Refused, Failed int
	// Wrong counts answers that differ from the expected text or lack the final chunk. Answered includes them.
	Wrong int
	// Recomputed is the number of tokens that servers recomputed to resume answers.
	Recomputed int
}

// result holds the outcome and the times of one request. For a plain service, firstToken equals total.
type result struct {
	work                   string
	firstToken, total      time.Duration
	gaps                   []time.Duration
	refused, failed, wrong bool
	recomputed             int
}

// add adds the result of one request to the samples of its kind of work.
func (report Report) add(result result) {
	samples := report[result.work]
	if samples == nil {
		samples = &Samples{}
		report[result.work] = samples
	}
	samples.Recomputed += result.recomputed
	switch {
	case result.refused:
		samples.Refused++
		return
	case result.failed:
		samples.Failed++
		return
	case result.wrong:
		samples.Wrong++
	}
	samples.Answered++
	samples.First = append(samples.First, result.firstToken)
	samples.Total = append(samples.Total, result.total)
	samples.Gaps = append(samples.Gaps, result.gaps...)
}

func (report Report) sort() {
	for _, samples := range report {
		slices.Sort(samples.First)
		slices.Sort(samples.Total)
		slices.Sort(samples.Gaps)
	}
}

// Quantile returns the smallest of the sorted durations such that at least the given share (0 to 1) of the
// durations are not longer.
//
// It returns 0 for an empty list.
func Quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	index := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

// String returns one line for each kind of work: the counts, and the 50th and 99th percentiles of the times.
func (report Report) String() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(report)) {
		samples := report[name]
		fmt.Fprintf(&text, "%-12s answered %d refused %d failed %d wrong %d recomputed %d first p50 %v p99 %v whole p50 %v p99 %v\n",
			name, samples.Answered, samples.Refused, samples.Failed, samples.Wrong, samples.Recomputed,
			Quantile(samples.First, 0.5).Round(time.Millisecond), Quantile(samples.First, 0.99).Round(time.Millisecond),
			Quantile(samples.Total, 0.5).Round(time.Millisecond), Quantile(samples.Total, 0.99).Round(time.Millisecond))
	}
	return text.String()
}

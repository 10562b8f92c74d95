package slopes

import (
	"fmt"
	"io"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
)

// report prints each figure with its spread and keeps what one case measures.
type report struct {
	output io.Writer
	order  []string
	values map[string][]float64
}

func newReport(output io.Writer) *report {
	return &report{output: output, values: map[string][]float64{}}
}

// add notes one measured value of a figure, whose name ends with its unit.
func (report *report) add(name string, value float64) {
	if _, known := report.values[name]; !known {
		report.order = append(report.order, name)
	}
	report.values[name] = append(report.values[name], value)
}

// addCalls notes calls to the key-value service by kind, per unit of work. A kind
// that did not occur counts as 0, since the median of the runs would be too high without it.
func (report *report) addCalls(name string, counts kv.Counts, units float64) {
	for _, kind := range kv.Kinds {
		report.add(fmt.Sprintf("%s, %s", name, kind), float64(counts[kind])/units)
	}
}

// flush prints the figures so far, with median, least, most and mean, and forgets them.
func (report *report) flush() {
	for _, name := range report.order {
		values := slices.Sorted(slices.Values(report.values[name]))
		if values[len(values)-1] == 0 {
			continue
		}
		fmt.Fprintf(report.output, "%-58s %10.3f  (%.3f to %.3f, mean %.3f)\n",
			name, values[len(values)/2], values[0], values[len(values)-1], mean(values))
	}
	report.order, report.values = nil, map[string][]float64{}
}

func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / float64(len(values))
}

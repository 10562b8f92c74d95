package slopes

import (
	"fmt"
	"io"
	"maps"
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

// addCalls notes calls to the key-value service by kind, per unit of work.
func (report *report) addCalls(name string, counts kv.Counts, units float64) {
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		report.add(fmt.Sprintf("%s, %s", name, kind), float64(counts[kind])/units)
	}
}

// flush prints the figures so far, with median, least and most, and forgets them.
func (report *report) flush() {
	for _, name := range report.order {
		values := slices.Sorted(slices.Values(report.values[name]))
		fmt.Fprintf(report.output, "%-58s %10.3f  (%.3f to %.3f, %d runs)\n",
			name, values[len(values)/2], values[0], values[len(values)-1], len(values))
	}
	report.order, report.values = nil, map[string][]float64{}
}

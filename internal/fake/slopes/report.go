package slopes

import (
	"fmt"
	"io"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
)

// report collects the values that one measurement yields for each figure, and prints them with their spread.
type report struct {
	output io.Writer
	// order lists the names of the figures in the order in which they were first added.
	order  []string
	values map[string][]float64
}

func newReport(output io.Writer) *report {
	return &report{output: output, values: map[string][]float64{}}
}

// add adds one measured value of a figure. The name of a figure includes its unit.
func (report *report) add(name string, value float64) {
	if _, exists := report.values[name]; !exists {
		report.order = append(report.order, name)
	}
	report.values[name] = append(report.values[name], value)
}

// addCalls adds the calls to the key-value service per unit of work, as one figure for each kind of call. A
// kind that did not occur counts as 0, because leaving it out would make the median of the runs too high.
func (report *report) addCalls(name string, counts kv.Counts, units float64) {
	for _, kind := range kv.Kinds {
		report.add(fmt.Sprintf("%s, %s", name, kind), float64(counts[kind])/units)
	}
}

// flush prints the median, minimum, maximum and mean of each figure and clears the report. It leaves out
// figures whose values are all 0.
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

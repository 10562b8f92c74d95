package config

import "fmt"

// Severity determines whether a finding prevents a change from being accepted.
type Severity string

// The severities of findings.
const (
	SeverityError   Severity = "Error"
	SeverityWarning Severity = "Warning"
)

// Finding is an error or a warning about a change.
type Finding struct {
	Severity Severity
	// Kind, Name and Field locate the finding; they are empty if it concerns the change as a whole.
	Kind  Kind   `json:",omitempty"`
	Name  string `json:",omitempty"`
	Field string `json:",omitempty"`
	// Problem describes the fault, Allowed the values that would be accepted.
	Problem string
	Allowed string
}

// String returns the finding as one line of text.
func (finding Finding) String() string {
	where := "change"
	if finding.Kind != "" {
		where = fmt.Sprintf("%s %q", finding.Kind, finding.Name)
	}
	if finding.Field != "" {
		where += " " + finding.Field
	}
	return fmt.Sprintf("%s: %s: %s; allowed: %s", finding.Severity, where, finding.Problem, finding.Allowed)
}

// HasErrors reports whether any finding has [SeverityError], so that the change is not accepted.
func HasErrors(findings []Finding) bool {
	for _, finding := range findings {
		if finding.Severity == SeverityError {
			return true
		}
	}
	return false
}

// report collects findings.
type report struct {
	findings []Finding
}

// location adds findings about one document, or about the change as a whole if kind is empty, to a report.
type location struct {
	report *report
	kind   Kind
	name   string
}

func (report *report) locate(kind Kind, name string) location { return location{report, kind, name} }

func (location location) add(severity Severity, field, problem, allowed string) {
	location.report.findings = append(location.report.findings, Finding{severity, location.kind, location.name, field, problem, allowed})
}

// require adds an error unless ok is true.
func (location location) require(ok bool, field, problem, allowed string) {
	if !ok {
		location.add(SeverityError, field, problem, allowed)
	}
}

// requireInRange adds an error unless the value is within the bounds.
func (location location) requireInRange(value, lowest, highest int, field string) {
	location.require(value >= lowest && value <= highest, field, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("%d to %d", lowest, highest))
}

// requireRate adds an error unless the value is between 0 and highest.
func (location location) requireRate(value, highest float64, field string) {
	location.require(value >= 0 && value <= highest, field, fmt.Sprintf("%g is out of range", value), fmt.Sprintf("0 to %g", highest))
}

// requireKnown adds an error unless the value is one of the known values.
func requireKnown[T ~string](location location, value T, field string, known ...T) {
	allowed := ""
	for i, candidate := range known {
		if value == candidate {
			return
		}
		if i > 0 {
			allowed += ", "
		}
		allowed += string(candidate)
		if candidate == "" {
			allowed += "empty"
		}
	}
	location.add(SeverityError, field, fmt.Sprintf("unknown value %q", string(value)), allowed)
}

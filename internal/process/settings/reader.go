package settings

import (
	"errors"
	"fmt"
)

// Flags takes the names, values and descriptions of flags.
type Flags interface {
	String(assignmentVar *string, shortName, longName, description string)
}

// Reader collects the raw values of all settings and then checks them.
type Reader struct {
	values []string
}

// NewReader returns a reader whose flags are declared on flags.
func NewReader(flags Flags) *Reader {
	reader := &Reader{values: make([]string, len(fields))}
	for i, field := range fields {
		help := fmt.Sprintf("%s (%s; %s", field.help, field.allowed, field.environmentVariable())
		if field.defaultValue != "" {
			help += "; default " + field.defaultValue
		}
		flags.String(&reader.values[i], "", field.flag, help+")")
	}
	return reader
}

// Read returns the settings, or an error that lists every fault.
//
// A setting that has no flag is taken from lookup, which is [os.LookupEnv] in a process.
func (reader *Reader) Read(lookup func(name string) (string, bool)) (Settings, error) {
	var settings Settings
	var faults []error
	for i, field := range fields {
		value := reader.values[i]
		if value == "" {
			value, _ = lookup(field.environmentVariable())
		}
		if value == "" {
			value = field.defaultValue
		}
		if !field.apply(&settings, value) {
			faults = append(faults, field.invalidValue(value))
		}
	}
	return settings, errors.Join(faults...)
}

package settings

import (
	"errors"
	"fmt"
)

// Flags declares command-line flags, such as those of a subcommand.
type Flags interface {
	// String declares a flag whose value is stored in assignmentVar; shortName may be empty.
	String(assignmentVar *string, shortName, longName, description string)
}

// Reader reads the settings from flags and environment variables, and checks them.
type Reader struct {
	// values holds the values of the flags in the order of fields, empty for a flag that is not given.
	values []string
}

// NewReader declares a flag for each setting on flags, and returns a reader of their values.
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

// Read returns the settings, or an error that lists every invalid one.
//
// A setting without a flag, or with an empty one, is read with lookup, which is
// [os.LookupEnv] outside tests. If that is empty too, the setting has its default value.
func (reader *Reader) Read(lookup func(name string) (string, bool)) (Settings, error) {
	var settings Settings
	var errs []error
	for i, field := range fields {
		value := reader.values[i]
		if value == "" {
			value, _ = lookup(field.environmentVariable())
		}
		if value == "" {
			value = field.defaultValue
		}
		if !field.apply(&settings, value) {
			errs = append(errs, field.invalidValue(value))
		}
	}
	return settings, errors.Join(errs...)
}

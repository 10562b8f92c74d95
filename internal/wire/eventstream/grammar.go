package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// The names of the fields of the format.
const (
	fieldID    = "id"
	fieldData  = "data"
	fieldEvent = "event"
	fieldRetry = "retry"
)

// Grammar is the form that the events of a stream must have, so that all readers take the same bytes for an event: UTF-8 without
// control characters, lines that end in one way, one id that is a decimal number, at least one field data, and no other fields than
// those of the format and of the protocol. It is immutable; the zero value allows no fields beyond those of the format.
type Grammar struct {
	// numberFields are the names of the fields of the protocol, whose values are decimal numbers.
	numberFields []string
}

// NewGrammar returns the grammar of events that may also have the named fields, with decimal numbers as values.
func NewGrammar(numberFields ...string) Grammar {
	return Grammar{numberFields: slices.Clone(numberFields)}
}

// Event is a block that has the form of an event.
type Event struct {
	// ID is the id of the event, empty for a block that is none.
	ID string
	// Text is what readers need of the block: without comments and the field retry. It is empty for a block that has nothing else.
	Text []byte
}

// Event returns the event of a whole block, or an error that says which line of the block does not have the form of the grammar.
func (grammar Grammar) Event(block Block) (Event, error) {
	form, err := grammar.read(block.Text)
	switch {
	case err != nil:
		return Event{}, err
	case len(form.fields) == 0:
		return Event{}, nil
	case form.id == "":
		return Event{}, fmt.Errorf("no id in %s", quote(block.Text))
	case !slices.Contains(form.fields, fieldData):
		return Event{}, fmt.Errorf("no data in %s", quote(block.Text))
	}
	text := block.Text
	if form.hasSilentLine {
		text = bytes.Join(form.lines, nil)
	}
	return Event{ID: form.id, Text: text}, nil
}

// Begin returns the event that a block whose end has not arrived has begun, or an error if the block cannot become an event. The event lacks
// its id while that line is not whole, and its text while the block may have comments and the field retry only.
func (grammar Grammar) Begin(rest Block) (Event, error) {
	whole := bytes.LastIndexAny(rest.Text, lineEnds) + 1
	form, err := grammar.read(rest.Text[:whole])
	last := rest.Text[whole:]
	switch {
	case err != nil:
		return Event{}, err
	case !grammar.canBecomeLine(last), form.id != "" && bytes.HasPrefix(last, []byte(fieldID+":")):
		return Event{}, fmt.Errorf("no field of an event in the line %s", quote(last))
	case len(form.fields) == 0 && mayBeSilent(string(last)):
		return Event{}, nil
	}
	return Event{ID: form.id, Text: rest.Text}, nil
}

// form is what the lines of a block say.
type form struct {
	id string
	// fields are the names of the fields other than retry.
	fields []string
	// lines are the lines that readers need, with their ends.
	lines [][]byte
	// hasSilentLine reports whether there were other lines, which have no effect on readers.
	hasSilentLine bool
	// lineEnd is the end of the first line.
	lineEnd string
}

// read returns the form of whole lines.
func (grammar Grammar) read(text []byte) (form, error) {
	read := form{}
	for len(text) > 0 {
		line, end := cutLine(text)
		text = text[len(line)+len(end):]
		var err error
		if read, err = grammar.withLine(read, line, end); err != nil {
			return form{}, err
		}
	}
	return read, nil
}

// withLine returns a form after a further line.
func (grammar Grammar) withLine(read form, line, end []byte) (form, error) {
	if read.lineEnd == "" {
		read.lineEnd = string(end)
	}
	switch {
	case string(end) != read.lineEnd:
		return read, fmt.Errorf("lines that end in different ways at %s", quote(line))
	case !isText(line):
		return read, fmt.Errorf("bytes that are no text in the line %s", quote(line))
	}
	name, value, hasValue := strings.Cut(string(line), ":")
	value = strings.TrimPrefix(value, " ")
	var err error
	switch {
	case len(line) == 0:
		read.lines = append(read.lines, end)
		return read, nil
	case name == "":
		read.hasSilentLine = true
		return read, nil
	case name == fieldID && read.id != "":
		err = errors.New("a second id")
	case name == fieldID || name == fieldRetry || slices.Contains(grammar.numberFields, name):
		err = checkNumber(name, value)
	case name != fieldData && (name != fieldEvent || !hasValue):
		err = errors.New("no field of an event")
	}
	if err != nil {
		return read, fmt.Errorf("%w in the line %s", err, quote(line))
	}
	if name == fieldRetry {
		read.hasSilentLine = true
		return read, nil
	}
	if name == fieldID {
		read.id = value
	}
	read.fields = append(read.fields, name)
	read.lines = append(read.lines, slices.Concat(line, end))
	return read, nil
}

// canBecomeLine reports whether the beginning of a line may be that of a line of the grammar.
func (grammar Grammar) canBecomeLine(begun []byte) bool {
	name, value, hasValue := strings.Cut(string(begun), ":")
	names := append([]string{"", fieldID, fieldData, fieldEvent, fieldRetry}, grammar.numberFields...)
	if !hasValue {
		return slices.ContainsFunc(names, func(known string) bool { return strings.HasPrefix(known, name) })
	}
	value = strings.TrimPrefix(value, " ")
	isNumber := name == fieldID || name == fieldRetry || slices.Contains(grammar.numberFields, name)
	switch {
	case !slices.Contains(names, name):
		return false
	case isNumber:
		return value == "" || checkNumber(name, value) == nil
	}
	return isText(withoutCutRune([]byte(value)))
}

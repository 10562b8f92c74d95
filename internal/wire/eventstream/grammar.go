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
// the control characters that JSON escapes, lines that end in one way, one id that is a decimal number, at least one field data, and no other fields than
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
	case !form.hasField:
		return Event{}, nil
	case form.id == "":
		return Event{}, fmt.Errorf("no id in %s", quote(block.Text))
	case !form.hasData:
		return Event{}, fmt.Errorf("no data in %s", quote(block.Text))
	}
	return Event{ID: form.id, Text: form.text}, nil
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
	case !form.hasField && mayBeIgnored(string(last)):
		return Event{}, nil
	}
	return Event{ID: form.id, Text: rest.Text}, nil
}

// form is what the lines of a block say.
type form struct {
	id string
	// hasField reports whether there is a field other than retry, and hasData whether one of them is data.
	hasField, hasData bool
	// text is the lines that readers need.
	text []byte
	// lineEnd is the end of the first line.
	lineEnd []byte
}

// read returns the form of whole lines.
func (grammar Grammar) read(text []byte) (form, error) {
	read := form{text: text}
	for next := 0; next < len(text); {
		line, end := cutLine(text[next:])
		start := next
		next += len(line) + len(end)
		ignored, err := grammar.readLine(&read, line, end)
		switch {
		case err != nil:
			return form{}, err
		case ignored && len(read.text) == len(text):
			read.text = slices.Clone(text[:start])
		case !ignored && len(read.text) < start:
			read.text = append(read.text, text[start:next]...)
		}
	}
	return read, nil
}

// readLine adds a further line to a form, and reports whether readers ignore the line.
func (grammar Grammar) readLine(read *form, line, end []byte) (ignored bool, err error) {
	if read.lineEnd == nil {
		read.lineEnd = end
	}
	switch {
	case !bytes.Equal(end, read.lineEnd):
		return false, fmt.Errorf("lines that end in different ways at %s", quote(line))
	case !isText(line):
		return false, fmt.Errorf("bytes that are no text in the line %s", quote(line))
	case len(line) == 0:
		return false, nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	isNumber := slices.Contains(grammar.numberFields, string(name))
	switch {
	case len(name) == 0:
		return true, nil
	case string(name) == fieldID && read.id != "":
		err = errors.New("a second id")
	case string(name) == fieldID || string(name) == fieldRetry || isNumber:
		err = checkNumber(string(name), value)
	case string(name) != fieldData && string(name) != fieldEvent:
		err = errors.New("no field of an event")
	}
	switch {
	case err != nil:
		return false, fmt.Errorf("%w in the line %s", err, quote(line))
	case string(name) == fieldRetry:
		return true, nil
	case string(name) == fieldID:
		read.id = string(value)
	}
	read.hasField, read.hasData = true, read.hasData || string(name) == fieldData
	return false, nil
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
		return value == "" || checkNumber(name, []byte(value)) == nil
	}
	return isText(withoutCutRune([]byte(value)))
}

package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	kjson "sigs.k8s.io/json"
)

// Error is a text that is not in the JSON form.
type Error struct {
	// Position is a path of keys such as Backends[3].Slots, a line and column, or both.
	Position string
	Problem  string
}

// Error says where and what.
func (err *Error) Error() string { return err.Position + ": " + err.Problem }

// strict decodes data, which starts at offset in the whole text, and refuses unknown and repeated keys.
func strict(whole []byte, offset int, data []byte, into any) error {
	faults, err := kjson.UnmarshalStrict(data, into, kjson.DisallowUnknownFields, kjson.DisallowDuplicateFields)
	if err != nil {
		return located(whole, offset, err)
	}
	if len(faults) > 0 {
		return &Error{Position: position(whole, offset), Problem: errors.Join(faults...).Error()}
	}
	return nil
}

// located turns an error of the decoder into one with a line and column.
func located(whole []byte, offset int, err error) error {
	if syntax, at := kjson.SyntaxErrorOffset(err); syntax {
		return &Error{Position: position(whole, offset+int(at)), Problem: err.Error()}
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return &Error{
			Position: fmt.Sprintf("%s, %s", position(whole, offset+int(kind.Offset)), kind.Field),
			Problem:  fmt.Sprintf("a %s is not allowed, must be a %s", kind.Value, kind.Type),
		}
	}
	return &Error{Position: position(whole, offset), Problem: strings.TrimPrefix(err.Error(), "json: ")}
}

// position gives the line and column of an offset, both counted from 1.
func position(text []byte, offset int) string {
	before := text[:min(max(offset, 0), len(text))]
	return fmt.Sprintf("line %d column %d", bytes.Count(before, []byte("\n"))+1, len(before)-bytes.LastIndexByte(before, '\n'))
}

// DecodeStrict decodes data into a value and refuses unknown and repeated keys with an [*Error].
func DecodeStrict(data []byte, into any) error { return strict(data, 0, data, into) }

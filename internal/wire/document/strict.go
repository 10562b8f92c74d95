package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	kjson "sigs.k8s.io/json"
)

// Error reports input that is not valid JSON or not in the expected form.
type Error struct {
	// Position is a path of keys such as Backends[3].Slots, a line and column, or both.
	Position string
	// Problem describes the fault and, where useful, what is allowed.
	Problem string
}

// Error returns the position and the problem.
func (err *Error) Error() string { return err.Position + ": " + err.Problem }

// decodeAt decodes data, which starts at offset in text, into target.
//
// It returns an [*Error] for malformed data, for an unknown key and for a repeated key.
func decodeAt(text []byte, offset int, data []byte, target any) error {
	keyErrors, err := kjson.UnmarshalStrict(data, target, kjson.DisallowUnknownFields, kjson.DisallowDuplicateFields)
	if err != nil {
		return withPosition(text, offset, err)
	}
	if len(keyErrors) > 0 {
		return &Error{Position: position(text, offset), Problem: errors.Join(keyErrors...).Error()}
	}
	return nil
}

// withPosition converts an error of the decoder into an [*Error] with the line and column in text.
func withPosition(text []byte, offset int, err error) error {
	if syntax, syntaxOffset := kjson.SyntaxErrorOffset(err); syntax {
		return &Error{Position: position(text, offset+int(syntaxOffset)), Problem: err.Error()}
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &Error{
			Position: fmt.Sprintf("%s, %s", position(text, offset+int(typeError.Offset)), typeError.Field),
			Problem:  fmt.Sprintf("a %s is not allowed, must be a %s", typeError.Value, typeError.Type),
		}
	}
	return &Error{Position: position(text, offset), Problem: strings.TrimPrefix(err.Error(), "json: ")}
}

// position returns the line and column of a byte offset, both counted from 1, the column in bytes.
func position(text []byte, offset int) string {
	before := text[:min(max(offset, 0), len(text))]
	return fmt.Sprintf("line %d column %d", bytes.Count(before, []byte("\n"))+1, len(before)-bytes.LastIndexByte(before, '\n'))
}

// DecodeStrict decodes data into target.
//
// It returns an [*Error] for malformed data, for an unknown key and for a repeated key.
func DecodeStrict(data []byte, target any) error { return decodeAt(data, 0, data, target) }

// DecodeLenient decodes data into target, and ignores unknown keys.
//
// It returns an [*Error] for malformed data and for a value of the wrong type.
func DecodeLenient(data []byte, target any) error {
	if err := kjson.UnmarshalCaseSensitivePreserveInts(data, target); err != nil {
		return withPosition(data, 0, err)
	}
	return nil
}

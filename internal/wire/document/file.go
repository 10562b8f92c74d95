package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// DecodeFile decodes all documents of a file into one change.
//
// The change has the base and the ID that the file contains, or none. Its errors are
// of type [*Error]; a file with two different bases is an error too.
func DecodeFile(data []byte) (config.Change, error) {
	var merged jsonChange
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return merged.change(), nil
		}
		if err != nil {
			return config.Change{}, syntaxError(data, decoder, err)
		}
		value, err := decodeValue(data, int(decoder.InputOffset())-len(raw), raw)
		if err != nil {
			return config.Change{}, err
		}
		if merged, err = merged.merge(value); err != nil {
			return config.Change{}, err
		}
	}
}

// syntaxError converts an error of decoder into an [*Error] with the line and column in data.
//
// The parameter data is the whole file, since decoder counts its offsets from the start of the file.
func syntaxError(data []byte, decoder *json.Decoder, err error) error {
	offset := int(decoder.InputOffset())
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = int(syntax.Offset)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		offset = len(data)
	}
	return &Error{Position: position(data, offset), Problem: err.Error()}
}

// decodeValue decodes data, a JSON value that starts at offset in file.
//
// The value is a change or a document with its Kind.
func decodeValue(file []byte, offset int, data []byte) (jsonChange, error) {
	var head struct{ Kind *config.Kind }
	if err := json.Unmarshal(data, &head); err != nil {
		return jsonChange{}, &Error{Position: position(file, offset), Problem: "must be an object that is a change, or a document with its Kind"}
	}
	if head.Kind == nil {
		var value jsonChange
		err := decodeAt(file, offset, data, &value)
		return value, err
	}
	switch *head.Kind {
	case config.KindService:
		var tagged struct {
			Kind config.Kind
			config.Service
		}
		err := decodeAt(file, offset, data, &tagged)
		return jsonChange{Services: []config.Service{tagged.Service}}, err
	case config.KindAccount:
		var tagged struct {
			Kind config.Kind
			config.Account
		}
		err := decodeAt(file, offset, data, &tagged)
		return jsonChange{Accounts: []config.Account{tagged.Account}}, err
	case config.KindBackend:
		var tagged struct {
			Kind config.Kind
			config.Backend
		}
		err := decodeAt(file, offset, data, &tagged)
		return jsonChange{Backends: []config.Backend{tagged.Backend}}, err
	}
	return jsonChange{}, &Error{Position: position(file, offset) + ", Kind", Problem: fmt.Sprintf("unknown kind %q, must be Service, Account or Backend", *head.Kind)}
}

// merge returns the change with the documents, the base and the ID of value added.
//
// It returns an error if the bases differ.
func (jsonChange jsonChange) merge(value jsonChange) (jsonChange, error) {
	if jsonChange.Base != nil && value.Base != nil && *jsonChange.Base != *value.Base {
		return jsonChange, &Error{Position: "Base", Problem: fmt.Sprintf("the file has two different values, %d and %d", *jsonChange.Base, *value.Base)}
	}
	if value.Base != nil {
		jsonChange.Base = value.Base
	}
	if value.ID != "" {
		jsonChange.ID = value.ID
	}
	jsonChange.Services = append(jsonChange.Services, value.Services...)
	jsonChange.Accounts = append(jsonChange.Accounts, value.Accounts...)
	jsonChange.Backends = append(jsonChange.Backends, value.Backends...)
	jsonChange.Deletes = append(jsonChange.Deletes, value.Deletes...)
	return jsonChange, nil
}

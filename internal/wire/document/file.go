package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// DecodeFile returns all documents of a file as one change.
//
// The error is an [*Error]. The change has the base and the identifier that the
// file states, or none. A file that states several bases is refused.
func DecodeFile(data []byte) (config.Change, error) {
	var whole jsonChange
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return whole.change(), nil
		}
		if err != nil {
			return config.Change{}, syntaxError(data, decoder, err)
		}
		part, err := decodeValue(data, int(decoder.InputOffset())-len(raw), raw)
		if err != nil {
			return config.Change{}, err
		}
		if whole, err = whole.merge(part); err != nil {
			return config.Change{}, err
		}
	}
}

// syntaxError places a syntax error of the stream, whose offset counts from the start of the file.
func syntaxError(data []byte, decoder *json.Decoder, err error) error {
	offset := int(decoder.InputOffset())
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = int(syntax.Offset)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		offset = len(data)
	}
	return &Error{Where: position(data, offset), Problem: err.Error()}
}

func decodeValue(whole []byte, offset int, data []byte) (jsonChange, error) {
	var head struct{ Kind *config.Kind }
	if err := json.Unmarshal(data, &head); err != nil {
		return jsonChange{}, &Error{Where: position(whole, offset), Problem: "must be an object, a change or a document with its Kind"}
	}
	if head.Kind == nil {
		var part jsonChange
		err := decodeAt(whole, offset, data, &part)
		return part, err
	}
	switch *head.Kind {
	case config.KindService:
		var tagged struct {
			Kind config.Kind
			config.Service
		}
		err := decodeAt(whole, offset, data, &tagged)
		return jsonChange{Services: []config.Service{tagged.Service}}, err
	case config.KindAccount:
		var tagged struct {
			Kind config.Kind
			config.Account
		}
		err := decodeAt(whole, offset, data, &tagged)
		return jsonChange{Accounts: []config.Account{tagged.Account}}, err
	case config.KindBackend:
		var tagged struct {
			Kind config.Kind
			config.Backend
		}
		err := decodeAt(whole, offset, data, &tagged)
		return jsonChange{Backends: []config.Backend{tagged.Backend}}, err
	}
	return jsonChange{}, &Error{Where: position(whole, offset) + ", Kind", Problem: fmt.Sprintf("unknown kind %q, must be Service, Account or Backend", *head.Kind)}
}

func (jsonChange jsonChange) merge(part jsonChange) (jsonChange, error) {
	if jsonChange.Base != nil && part.Base != nil && *jsonChange.Base != *part.Base {
		return jsonChange, &Error{Where: "Base", Problem: fmt.Sprintf("the file states both %d and %d", *jsonChange.Base, *part.Base)}
	}
	if part.Base != nil {
		jsonChange.Base = part.Base
	}
	if part.ID != "" {
		jsonChange.ID = part.ID
	}
	jsonChange.Services = append(jsonChange.Services, part.Services...)
	jsonChange.Accounts = append(jsonChange.Accounts, part.Accounts...)
	jsonChange.Backends = append(jsonChange.Backends, part.Backends...)
	jsonChange.Deletes = append(jsonChange.Deletes, part.Deletes...)
	return jsonChange, nil
}

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
	var whole form
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return whole.value(), nil
		}
		if err != nil {
			return config.Change{}, failed(data, decoder, err)
		}
		part, err := decodePart(data, int(decoder.InputOffset())-len(raw), raw)
		if err != nil {
			return config.Change{}, err
		}
		if whole, err = whole.with(part); err != nil {
			return config.Change{}, err
		}
	}
}

// failed places a syntax error of the stream, whose offset counts from the start of the file.
func failed(data []byte, decoder *json.Decoder, err error) error {
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

func decodePart(whole []byte, offset int, data []byte) (form, error) {
	var head struct{ Kind *config.Kind }
	if err := json.Unmarshal(data, &head); err != nil {
		return form{}, &Error{Position: position(whole, offset), Problem: "must be an object, a change or a document with its Kind"}
	}
	if head.Kind == nil {
		var part form
		err := strict(whole, offset, data, &part)
		return part, err
	}
	switch *head.Kind {
	case config.KindService:
		var tagged struct {
			Kind config.Kind
			config.Service
		}
		err := strict(whole, offset, data, &tagged)
		return form{Services: []config.Service{tagged.Service}}, err
	case config.KindAccount:
		var tagged struct {
			Kind config.Kind
			config.Account
		}
		err := strict(whole, offset, data, &tagged)
		return form{Accounts: []config.Account{tagged.Account}}, err
	case config.KindBackend:
		var tagged struct {
			Kind config.Kind
			config.Backend
		}
		err := strict(whole, offset, data, &tagged)
		return form{Backends: []config.Backend{tagged.Backend}}, err
	}
	return form{}, &Error{Position: position(whole, offset) + ", Kind", Problem: fmt.Sprintf("unknown kind %q, must be Service, Account or Backend", *head.Kind)}
}

func (form form) with(part form) (form, error) {
	if form.Base != nil && part.Base != nil && *form.Base != *part.Base {
		return form, &Error{Position: "Base", Problem: fmt.Sprintf("the file states both %d and %d", *form.Base, *part.Base)}
	}
	if part.Base != nil {
		form.Base = part.Base
	}
	if part.ID != "" {
		form.ID = part.ID
	}
	form.Services = append(form.Services, part.Services...)
	form.Accounts = append(form.Accounts, part.Accounts...)
	form.Backends = append(form.Backends, part.Backends...)
	form.Deletes = append(form.Deletes, part.Deletes...)
	return form, nil
}

package document

import (
	"encoding/json"
	"net/netip"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// form is the JSON form of [config.Change].
type form struct {
	ID string `json:",omitempty"`
	// Base is the revision that the operator read; it is absent in files.
	Base     *int64             `json:",omitempty"`
	Author   string             `json:",omitempty"`
	Services []config.Service   `json:",omitempty"`
	Accounts []config.Account   `json:",omitempty"`
	Backends []config.Backend   `json:",omitempty"`
	Deletes  []config.Reference `json:",omitempty"`
}

// Encode returns the JSON form of a change; equal changes have equal forms.
func Encode(value config.Change) ([]byte, error) {
	base := value.Base()
	return json.Marshal(form{
		ID: value.ID, Base: &base, Author: value.Author, Services: value.Services,
		Accounts: value.Accounts, Backends: value.Backends, Deletes: value.Deletes,
	})
}

// Decode returns the change of a JSON form, which must state its base and its identifier.
//
// The error is an [*Error].
func Decode(data []byte) (config.Change, error) {
	var decoded form
	if err := strict(data, 0, data, &decoded); err != nil {
		return config.Change{}, err
	}
	switch {
	case decoded.Base == nil:
		return config.Change{}, &Error{Position: "Base", Problem: "missing, must be the revision that the change was made from"}
	case *decoded.Base < 0 || *decoded.Base == maxRevision:
		return config.Change{}, &Error{Position: "Base", Problem: "out of range, must be a revision"}
	case decoded.ID == "" || len(decoded.ID) > maxID:
		return config.Change{}, &Error{Position: "ID", Problem: "must be 1 to 128 bytes, chosen anew for each change"}
	}
	return decoded.value(), nil
}

const (
	// maxID bounds the identifier of a change, in bytes.
	maxID = 128
	// maxRevision has no next revision.
	maxRevision = 1<<63 - 1
)

func (form form) value() config.Change {
	value := config.Change{
		ID: form.ID, Author: form.Author, Services: form.Services,
		Accounts: form.Accounts, Backends: form.Backends, Deletes: form.Deletes,
	}
	if form.Base != nil {
		value = value.WithBase(*form.Base)
	}
	return value
}

// AddressChecker checks the addresses of backend servers.
type AddressChecker struct{}

// Valid reports whether address is "IP:port" with a port that can be connected to.
func (AddressChecker) Valid(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified()
}

package document

import (
	"encoding/json"
	"net/netip"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// jsonChange is the JSON form of [config.Change]; its field names are the keys.
type jsonChange struct {
	ID string `json:",omitempty"`
	// Base is the revision that the operator read before making the change; a file may leave it out.
	Base     *int64             `json:",omitempty"`
	Author   string             `json:",omitempty"`
	Services []config.Service   `json:",omitempty"`
	Accounts []config.Account   `json:",omitempty"`
	Backends []config.Backend   `json:",omitempty"`
	Deletes  []config.Reference `json:",omitempty"`
}

// Encode returns the JSON form of a change. Equal changes have identical encodings.
func Encode(value config.Change) ([]byte, error) {
	base := value.Base()
	return json.Marshal(jsonChange{
		ID: value.ID, Base: &base, Author: value.Author, Services: value.Services,
		Accounts: value.Accounts, Backends: value.Backends, Deletes: value.Deletes,
	})
}

// Decode decodes the JSON form of a change, which must contain Base and ID.
//
// Its errors are of type [*Error].
func Decode(data []byte) (config.Change, error) {
	var decoded jsonChange
	if err := decodeAt(data, 0, data, &decoded); err != nil {
		return config.Change{}, err
	}
	switch {
	case decoded.Base == nil:
		return config.Change{}, &Error{Position: "Base", Problem: "missing, must be the revision that the change was made from"}
	case *decoded.Base < 0 || *decoded.Base == maxRevision:
		return config.Change{}, &Error{Position: "Base", Problem: "out of range, must be a revision from 0 to 9223372036854775806"}
	case decoded.ID == "" || len(decoded.ID) > maxID:
		return config.Change{}, &Error{Position: "ID", Problem: "must be 1 to 128 bytes, different for each change"}
	}
	return decoded.change(), nil
}

const (
	// maxID bounds the identifier of a change, in bytes.
	maxID = 128
	// maxRevision is the highest int64. It cannot be the base of a change, since the revision of the change is one
	// higher and would overflow.
	maxRevision = 1<<63 - 1
)

// change returns the decoded change; without Base its revision is 0.
func (jsonChange jsonChange) change() config.Change {
	value := config.Change{
		ID: jsonChange.ID, Author: jsonChange.Author, Services: jsonChange.Services,
		Accounts: jsonChange.Accounts, Backends: jsonChange.Backends, Deletes: jsonChange.Deletes,
	}
	if jsonChange.Base != nil {
		value = value.WithBase(*jsonChange.Base)
	}
	return value
}

// AddressChecker checks the addresses of backend servers.
type AddressChecker struct{}

// Valid reports whether address is "IP:port" with an address and a port that can be connected to.
func (AddressChecker) Valid(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified()
}

package operator

import (
	"encoding/json"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// State says which entry answered and from which configuration.
type State struct {
	Entry    string
	Revision int64
	// AgeMs is how long ago the entry last knew that this was the newest
	// revision, in milliseconds; nil when that is not known.
	AgeMs *int64 `json:",omitempty"`
}

// Configuration is the answer to GET /config.
type Configuration struct {
	State
	Services []config.Service
	Accounts []config.Account
	Backends []config.Backend
}

// Set returns the documents as a set.
func (configuration Configuration) Set() config.Set {
	return config.Set{}.WithChange(config.Change{
		Revision: configuration.Revision, Services: configuration.Services,
		Accounts: configuration.Accounts, Backends: configuration.Backends,
	})
}

// Changelog is the answer to GET /config/history.
type Changelog struct {
	State
	Page
	// Changes are in the form of package document, oldest first.
	Changes []json.RawMessage
}

// Page says which changes an answer lists.
type Page struct {
	// Since is the revision after which the list has every change; it is higher
	// than the one asked for when the entry no longer knows the older changes.
	Since int64
	// More reports that there are newer changes than those listed.
	More bool `json:",omitempty"`
}

// Effects is the answer to GET /config/changes.
type Effects struct {
	State
	Page
	Changes []Effect
}

// Effect is what one change did.
type Effect struct {
	Revision    int64
	ID          string
	Author      string
	Differences []config.Difference
}

// EntryRevision is the revision in force at one entry.
type EntryRevision struct {
	Name     string
	Revision int64
	// AgeMs is how long ago the entry reported it, in milliseconds.
	AgeMs int64 `json:",omitempty"`
}

// EntryList is the answer to GET /entries.
type EntryList struct {
	State
	Entries []EntryRevision
}

// Selection is the answer to POST /select.
type Selection struct {
	State
	Selected []config.Reference
}

// BackendList is the answer to GET /backends.
type BackendList struct {
	State
	Backends []BackendState
}

// BackendState is a backend server as the entry sees it.
type BackendState struct {
	config.Backend
	Leaving     bool
	Observation backend.Observation
}

// Explanations is the answer to GET /requests/ID.
type Explanations struct {
	Entry    string
	Requests []Explanation
}

// Explanation is how one request was decided.
type Explanation struct {
	Arrived      time.Time
	Account      string
	Service      string
	Class        string
	Error        string `json:",omitempty"`
	FirstTokenMs int64
	WholeMs      int64
	Tokens       int
	Tried        []string
	Decisions    []request.Decision
}

// Refusal is the answer to an action that was not done, and the error of [Client].
type Refusal struct {
	// Status is the HTTP status code.
	Status  int    `json:"-"`
	Message string `json:"Error"`
	// Findings say what is wrong with a change.
	Findings []config.Finding `json:",omitempty"`
	// Winner is the change that came first, in the form of package document.
	Winner json.RawMessage `json:",omitempty"`
	// Unsure reports that the change may have been committed; a repeat tells.
	Unsure bool `json:",omitempty"`
}

// Error gives the message.
func (refusal *Refusal) Error() string { return refusal.Message }

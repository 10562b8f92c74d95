package operator

import (
	"encoding/json"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// State identifies the entry that answered and the configuration revision that it used.
type State struct {
	Entry    string
	Revision int64
	// AgeMs is the time since the entry last verified that this was the latest
	// revision, in milliseconds; nil if the entry does not measure it.
	AgeMs *int64 `json:",omitempty"`
}

// Configuration is the answer to GET /config.
type Configuration struct {
	State
	Services []config.Service
	Accounts []config.Account
	Backends []config.Backend
}

// Set returns the documents as a set with the answer's revision.
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
	// Changes are in the JSON format of package document, oldest first.
	Changes []json.RawMessage
}

// Page describes the range of changes that an answer lists.
type Page struct {
	// Since is the revision after which the list is complete; it is higher than the
	// requested one when the entry no longer has the older changes.
	Since int64
	// More reports whether there are newer changes than those listed.
	More bool `json:",omitempty"`
}

// Effects is the answer to GET /config/changes.
type Effects struct {
	State
	Page
	Changes []Effect
}

// Effect is the differences that one change made.
type Effect struct {
	Revision    int64
	ID          string
	Author      string
	Differences []config.Difference
}

// EntryRevision is the current configuration revision of one entry.
type EntryRevision struct {
	Name     string
	Revision int64
	// AgeMs is the time since the entry reported the revision, in milliseconds.
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

// BackendState is a backend server with the entry's observation of it.
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

// Explanation is the decisions about one request and their result.
type Explanation struct {
	Arrived time.Time
	Account string
	Service string
	Class   string
	Error   string `json:",omitempty"`
	// FirstTokenMs and WholeMs are the times from arrival to the first token and to the end,
	// in milliseconds.
	FirstTokenMs int64
	WholeMs      int64
	Tokens       int
	// Tried holds the names of the backend servers of earlier attempts.
	Tried     []string
	Decisions []request.Decision
}

// Refusal is the answer to an action that failed, and the error that [Client] returns for it.
type Refusal struct {
	// Status is the HTTP status code.
	Status  int    `json:"-"`
	Message string `json:"Error"`
	// Findings are the faults of a change that was rejected.
	Findings []config.Finding `json:",omitempty"`
	// Winner is the conflicting change that was committed first, in the JSON format of package document.
	Winner json.RawMessage `json:",omitempty"`
	// Unsure reports whether the change may have been committed; sending it again resolves this.
	Unsure bool `json:",omitempty"`
}

// Error returns the message.
func (refusal *Refusal) Error() string { return refusal.Message }

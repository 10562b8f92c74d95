package operator

import (
	"context"
	"io"
	"time"

	"github.com/rs/zerolog"

	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Parts are what the front end shows and changes.
type Parts struct {
	// Name is the entry's name.
	Name string
	// Operators maps the hex SHA-256 of each operator's key to the operator's name.
	Operators map[string]string
	Readiness Readiness
	Views     Views
	Journal   Journal
	Metrics   Metrics
	Logger    zerolog.Logger
	// Changes accepts changes; nil for an entry without a key-value service.
	Changes Changes
	// History gives the recent changes; nil for none.
	History History
	// Entries gives the revisions of all entries; nil for this entry only.
	Entries Entries
	// Freshness tells how old the configuration may be; nil when that is not known.
	Freshness Freshness
	// Quarantine holds the requests that crashed backend servers; nil for none.
	Quarantine Quarantine
	// CommitTimeout bounds a change from arrival to its answer, 0 for the default.
	CommitTimeout time.Duration
}

// Readiness tells whether the balancer should send requests.
type Readiness interface {
	Ready() bool
}

// Views gives the current snapshots.
type Views interface {
	View() request.View
}

// Journal finds the results of recent requests.
type Journal interface {
	Find(id string) []request.Result
}

// Metrics writes the metrics in the Prometheus text format.
type Metrics interface {
	Write(output io.Writer)
}

// Changes accepts changes of the configuration.
type Changes interface {
	Commit(ctx context.Context, author string, body []byte) (pipeconfig.Receipt, error)
}

// History gives the accepted changes with higher revisions, oldest first.
type History interface {
	After(revision int64) []pipeconfig.AppliedChange
}

// Entries gives the revision in force at each entry.
type Entries interface {
	Entries() []EntryRevision
}

// Freshness tells how long ago the entry last knew that its configuration was the newest.
type Freshness interface {
	Age() time.Duration
}

// defaultCommitTimeout leaves time for the key-value service to come back from a short outage.
const defaultCommitTimeout = 10 * time.Second

// thisEntry gives this entry's revision only.
type thisEntry struct {
	name  string
	views Views
}

// Entries returns one element.
func (entry thisEntry) Entries() []EntryRevision {
	return []EntryRevision{{Name: entry.name, Revision: entry.views.View().Config.Revision()}}
}

// emptyHistory knows no changes.
type emptyHistory struct{}

// After returns nothing.
func (emptyHistory) After(int64) []pipeconfig.AppliedChange { return nil }

// withDefaults returns the parts with those that may be left out.
func (parts Parts) withDefaults() Parts {
	if parts.History == nil {
		parts.History = emptyHistory{}
	}
	if parts.Entries == nil {
		parts.Entries = thisEntry{parts.Name, parts.Views}
	}
	if parts.CommitTimeout == 0 {
		parts.CommitTimeout = defaultCommitTimeout
	}
	return parts
}

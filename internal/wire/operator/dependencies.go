package operator

import (
	"context"
	"io"
	"time"

	"github.com/rs/zerolog"

	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Dependencies holds the dependencies of the front end.
type Dependencies struct {
	// Name is the entry's name.
	Name string
	// Operators maps the hex SHA-256 of each operator's key to the operator's name.
	Operators     map[string]string
	Readiness     Readiness
	Views         Views
	RecentResults RecentResults
	Metrics       Metrics
	Logger        zerolog.Logger
	// Committer commits changes; nil for an entry without a key-value service.
	Committer Committer
	// History returns the recent changes; nil for none.
	History History
	// Entries returns the revisions of all entries; nil for this entry only.
	Entries Entries
	// ConfigAge returns the age of the configuration; nil if it is not measured.
	ConfigAge ConfigAge
	// Quarantine holds the requests that crashed backend servers; nil for an entry without one.
	Quarantine Quarantine
	// CommitTimeout bounds a change from arrival to its answer, 0 for the default.
	CommitTimeout time.Duration
}

// Readiness reports whether a load balancer should send requests to the entry.
type Readiness interface {
	Ready() bool
}

// Views returns the current view of the configuration and the backend servers.
type Views interface {
	View() request.View
}

// RecentResults finds the results of the recent requests with an id.
type RecentResults interface {
	Find(id string) []request.Result
}

// Metrics writes the metrics in the Prometheus text format.
type Metrics interface {
	Write(output io.Writer)
}

// Committer commits changes of the configuration.
type Committer interface {
	Commit(ctx context.Context, author string, body []byte) (pipeconfig.Receipt, error)
}

// History returns the accepted changes after a revision, oldest first.
type History interface {
	After(revision int64) []pipeconfig.AppliedChange
}

// Entries returns the current configuration revision of each entry.
type Entries interface {
	Entries() []EntryRevision
}

// ConfigAge returns the time since the entry last verified that its configuration was the latest.
type ConfigAge interface {
	Age() time.Duration
}

// defaultCommitTimeout leaves time for the key-value service to recover from a short outage.
const defaultCommitTimeout = 10 * time.Second

// thisEntry implements Entries with this entry only.
type thisEntry struct {
	name  string
	views Views
}

// Entries returns the revision of this entry.
func (entry thisEntry) Entries() []EntryRevision {
	return []EntryRevision{{Name: entry.name, Revision: entry.views.View().Config.Revision()}}
}

// emptyHistory implements History without changes.
type emptyHistory struct{}

func (emptyHistory) After(int64) []pipeconfig.AppliedChange { return nil }

// withDefaults returns the dependencies with defaults for History, Entries and CommitTimeout.
func (dependencies Dependencies) withDefaults() Dependencies {
	if dependencies.History == nil {
		dependencies.History = emptyHistory{}
	}
	if dependencies.Entries == nil {
		dependencies.Entries = thisEntry{dependencies.Name, dependencies.Views}
	}
	if dependencies.CommitTimeout == 0 {
		dependencies.CommitTimeout = defaultCommitTimeout
	}
	return dependencies
}

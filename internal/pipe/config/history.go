package config

import (
	"slices"
	"sort"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// historyLength bounds the changes kept in memory; at 11,000 changes a day it
// covers the last hour. Memory stays small, since the sets before consecutive
// changes share their unchanged documents.
const historyLength = 512

// AppliedChange is an accepted change and the set to which it was applied.
type AppliedChange struct {
	Before config.Set
	Change config.Change
}

// Differences returns the documents that the change created, changed or deleted.
func (appliedChange AppliedChange) Differences() []config.Difference {
	return config.Diff(appliedChange.Before, appliedChange.Before.WithChange(appliedChange.Change))
}

// History holds the most recent accepted changes in memory; it is safe for concurrent use.
type History struct {
	changes *rcu.Cell[[]*AppliedChange]
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{changes: rcu.New([]*AppliedChange(nil))} }

// Record adds a change and the set before it, unless the history already contains the change's revision.
func (history *History) Record(before config.Set, change config.Change) {
	applied := &AppliedChange{Before: before.WithoutMaps(), Change: change}
	history.changes.Update(func(changes []*AppliedChange) []*AppliedChange {
		index := searchRevision(changes, change.Revision)
		if index < len(changes) && changes[index].Change.Revision == change.Revision {
			return changes
		}
		next := slices.Insert(slices.Clone(changes), index, applied)
		return next[max(0, len(next)-historyLength):]
	})
}

// After returns the changes with higher revisions than the given one, oldest first.
//
// If some revisions are missing from the history, it returns only the changes after the last gap.
func (history *History) After(revision int64) []AppliedChange {
	changes := history.changes.Load()
	changes = changes[searchRevision(changes, revision+1):]
	var after []AppliedChange
	for i, applied := range changes {
		if i > 0 && applied.Change.Revision != changes[i-1].Change.Revision+1 {
			after = nil
		}
		after = append(after, *applied)
	}
	return after
}

// Change returns the change that created a revision, or false if the history does not contain it.
func (history *History) Change(revision int64) (config.Change, bool) {
	changes := history.changes.Load()
	index := searchRevision(changes, revision)
	if index == len(changes) || changes[index].Change.Revision != revision {
		return config.Change{}, false
	}
	return changes[index].Change, true
}

// searchRevision returns the index of the first change with the given or a higher revision.
func searchRevision(changes []*AppliedChange, revision int64) int {
	return sort.Search(len(changes), func(i int) bool { return changes[i].Change.Revision >= revision })
}

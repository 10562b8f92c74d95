package config

import (
	"slices"
	"sort"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// historyLength bounds the changes kept in memory; at 11,000 changes a day it
// covers the last hour. The sets of consecutive steps share their unchanged documents.
const historyLength = 512

// AppliedChange is an accepted change and the set it was applied to.
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
	steps *rcu.Cell[[]*AppliedChange]
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{steps: rcu.New([]*AppliedChange(nil))} }

// Record adds a change and the set before it, unless the history already contains the change's revision.
func (history *History) Record(before config.Set, change config.Change) {
	step := &AppliedChange{Before: before.WithoutMaps(), Change: change}
	history.steps.Update(func(steps []*AppliedChange) []*AppliedChange {
		at := searchRevision(steps, change.Revision)
		if at < len(steps) && steps[at].Change.Revision == change.Revision {
			return steps
		}
		next := slices.Insert(slices.Clone(steps), at, step)
		return next[max(0, len(next)-historyLength):]
	})
}

// After returns the steps with higher revisions than the given one, oldest first.
//
// If some revisions are missing from the history, it returns only the steps after the last gap.
func (history *History) After(revision int64) []AppliedChange {
	steps := history.steps.Load()
	steps = steps[searchRevision(steps, revision+1):]
	var after []AppliedChange
	for i, step := range steps {
		if i > 0 && step.Change.Revision != steps[i-1].Change.Revision+1 {
			after = nil
		}
		after = append(after, *step)
	}
	return after
}

// Change returns the change that created a revision, or false if the history does not contain it.
func (history *History) Change(revision int64) (config.Change, bool) {
	steps := history.steps.Load()
	at := searchRevision(steps, revision)
	if at == len(steps) || steps[at].Change.Revision != revision {
		return config.Change{}, false
	}
	return steps[at].Change, true
}

// searchRevision returns the index of the first step with the given or a higher revision.
func searchRevision(steps []*AppliedChange, revision int64) int {
	return sort.Search(len(steps), func(i int) bool { return steps[i].Change.Revision >= revision })
}

package config

import (
	"slices"
	"sort"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// historyLength bounds the changes kept in memory; at 11,000 changes a day it
// covers the last hour. The sets of neighbouring steps share what did not change.
const historyLength = 512

// AppliedChange is one accepted change and the set it was applied to.
type AppliedChange struct {
	Before config.Set
	Change config.Change
}

// Differences returns what the change did to each document.
func (appliedChange AppliedChange) Differences() []config.Difference {
	return config.Diff(appliedChange.Before, appliedChange.Before.WithChange(appliedChange.Change))
}

// History keeps the most recent accepted changes; several threads may use it.
type History struct {
	steps *rcu.Cell[[]*AppliedChange]
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{steps: rcu.New([]*AppliedChange(nil))} }

// Record keeps the step from before through change unless it is known.
func (history *History) Record(before config.Set, change config.Change) {
	step := &AppliedChange{Before: before.WithoutMaps(), Change: change}
	history.steps.Update(func(steps []*AppliedChange) []*AppliedChange {
		at := find(steps, change.Revision)
		if at < len(steps) && steps[at].Change.Revision == change.Revision {
			return steps
		}
		next := slices.Insert(slices.Clone(steps), at, step)
		return next[max(0, len(next)-historyLength):]
	})
}

// After returns the steps with higher revisions than the given one, oldest first.
//
// When some of them are not known, only those after the last gap are returned.
func (history *History) After(revision int64) []AppliedChange {
	steps := history.steps.Load()
	steps = steps[find(steps, revision+1):]
	var after []AppliedChange
	for i, step := range steps {
		if i > 0 && step.Change.Revision != steps[i-1].Change.Revision+1 {
			after = nil
		}
		after = append(after, *step)
	}
	return after
}

// Change returns the change of that revision if it is known.
func (history *History) Change(revision int64) (config.Change, bool) {
	steps := history.steps.Load()
	at := find(steps, revision)
	if at == len(steps) || steps[at].Change.Revision != revision {
		return config.Change{}, false
	}
	return steps[at].Change, true
}

// find returns the index of the first step with that revision or a higher one.
func find(steps []*AppliedChange, revision int64) int {
	return sort.Search(len(steps), func(i int) bool { return steps[i].Change.Revision >= revision })
}

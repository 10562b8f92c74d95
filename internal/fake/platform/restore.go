package platform

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// headerEra carries the number of restores. A store that was never restored omits it.
	headerEra = "Store-Era"
	// backupTime is the age up to which a state can be restored.
	backupTime = 30 * time.Second
)

// backup is a state of the store that was replaced at a time.
type backup struct {
	state      state
	replacedAt time.Time
}

// Restore returns the store to its state of some time ago, at most 30 s, and increments the era. Writes since are lost. Leases that
// the state has begin anew. Calls in progress get an answer of either era.
func (store *Store) Restore(ago time.Duration) {
	store.state.Update(func(current state) state {
		now := time.Now()
		restored := current
		if i := slices.IndexFunc(current.backups, func(backup backup) bool { return backup.replacedAt.After(now.Add(-ago)) }); i >= 0 {
			restored = current.backups[i].state
		}
		restored.era, restored.backups = current.era+1, current.backups
		for id, granted := range restored.leases {
			restored = restored.withLease(id, lease{granted.ttl, now.Add(granted.ttl)})
		}
		return restored
	})
}

// withBackup returns the state with the one that it replaces among its backups, unless that has the same content.
func (state state) withBackup(replaced state, now time.Time) state {
	if replaced.revision == state.revision && replaced.lastLeaseID == state.lastLeaseID {
		return state
	}
	replaced.backups = nil
	recent := slices.Clone(state.backups)
	recent = slices.DeleteFunc(recent, func(backup backup) bool { return now.Sub(backup.replacedAt) > backupTime })
	state.backups = append(recent, backup{replaced, now})
	return state
}

// writeEra adds the era to the header of an answer that is computed from the state.
func (state state) writeEra(writer http.ResponseWriter) {
	if state.era > 0 {
		writer.Header().Set(headerEra, strconv.FormatInt(state.era, 10))
	}
}

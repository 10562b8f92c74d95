package platform

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// watchPollInterval is the time between checks for a change while a watch waits.
const watchPollInterval = 5 * time.Millisecond

// event is a change of a key in the answer to a watch.
type event struct {
	item
	Removed bool `json:",omitempty"`
}

// watch answers with the changes after a revision as soon as there is one, or with none after the time that the caller
// waits. It answers with 410 for a revision that the store does not have. The store keeps the removals of keys, and of each key only its latest change.
func (store *Store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		state := store.update(func(state state) state { return state })
		if after > state.revision {
			state.writeEra(writer)
			writer.WriteHeader(http.StatusGone)
			return
		}
		events := state.eventsAfter(query.Get("Prefix"), after)
		if len(events) > 0 || time.Now().After(deadline) || store.unavailable.Load() {
			state.writeEra(writer)
			writeJSON(writer, struct {
				Events     []event `json:"events"`
				CurrentRev int64
			}{events, state.revision})
			return
		}
		select {
		case <-time.After(watchPollInterval):
		case <-request.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes of the keys with a prefix after a revision, in order.
func (state state) eventsAfter(prefix string, after int64) []event {
	events := []event{}
	for key, item := range state.items {
		if strings.HasPrefix(key, prefix) && item.Revision > after {
			events = append(events, event{item: item})
		}
	}
	for key, revision := range state.removed {
		if strings.HasPrefix(key, prefix) && revision > after {
			events = append(events, event{item: item{Key: key, Revision: revision}, Removed: true})
		}
	}
	slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.Revision, b.Revision) })
	return events
}

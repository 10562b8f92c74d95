package platform

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// Store is a stand-in for the platform's metadata store, with one revision counter for all keys.
type Store struct {
	state *rcu.Cell[state]
	// unavailable and losesAnswers are the injected faults, set by [Store.SetUnavailable] and
	// [Store.SetLosesAnswers].
	unavailable  atomic.Bool
	losesAnswers atomic.Bool
	http         *httptest.Server
}

// state is the immutable content of the store at one revision.
type state struct {
	// era is the number of restores.
	era         int64
	revision    int64
	lastLeaseID int64
	items       map[string]item
	// removed are the revisions at which keys without an item were removed.
	removed map[string]int64
	leases  map[int64]lease
	// backups are the states of the last backupTime, oldest first, without this field.
	backups []backup
}

type item struct {
	Key       string
	Value     []byte
	Revision  int64
	CreateRev int64
	Lease     int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// change is the request body of a transaction.
type change struct {
	ExpectedRevision []struct {
		Key      string
		Revision int64
	}
	Writes []struct {
		Key   string
		Value []byte
		Lease int64
	}
	Remove []string
}

// firstLeaseID is the number before that of the first lease. The platform's numbers have up to 48 bits.
const firstLeaseID = 1 << 47

// NewStore starts an empty store on a free port of the loopback interface.
func NewStore() *Store {
	store := &Store{state: rcu.New(state{items: map[string]item{}, leases: map[int64]lease{}, lastLeaseID: firstLeaseID})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", store.get)
	mux.HandleFunc("GET /v1/kv-range", store.readRange)
	mux.HandleFunc("GET /v1/kv-watch", store.watch)
	mux.HandleFunc("POST /v1/kv-txn", store.commit)
	mux.HandleFunc("POST /v1/kv-lease", store.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", store.keepAlive)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", store.revoke)
	store.http = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if store.unavailable.Load() {
			store.state.Load().writeEra(writer)
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(writer, request)
	}))
	return store
}

// Address returns the address that the store listens on, as "IP:port".
func (store *Store) Address() string { return strings.TrimPrefix(store.http.URL, "http://") }

// Close stops the store's server.
func (store *Store) Close() { store.http.Close() }

// SetUnavailable sets whether the store answers every call with status 503.
func (store *Store) SetUnavailable(unavailable bool) { store.unavailable.Store(unavailable) }

// SetLosesAnswers sets whether the store closes the connection of every third transaction, on average, unanswered.
func (store *Store) SetLosesAnswers(losesAnswers bool) { store.losesAnswers.Store(losesAnswers) }

// LastLease returns the number of the lease that was granted last.
func (store *Store) LastLease() int64 { return store.state.Load().lastLeaseID }

// Put writes an item without a precondition or a lease, as operators and runners do.
func (store *Store) Put(key string, value []byte) {
	store.update(func(state state) state { return state.with(key, value, 0) })
}

// Delete removes an item; an absent key leaves the revision unchanged.
func (store *Store) Delete(key string) {
	store.update(func(state state) state { return state.without(key) })
}

// update replaces the state by the result of change, which receives the state without expired leases, and returns
// the new state.
func (store *Store) update(change func(state) state) state {
	return store.state.Update(func(state state) state {
		now := time.Now()
		return change(state.withoutExpired(now)).withBackup(state, now)
	})
}

func (store *Store) get(writer http.ResponseWriter, request *http.Request) {
	state := store.update(func(state state) state { return state })
	state.writeEra(writer)
	current, ok := state.items[request.URL.Query().Get("Key")]
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
	}
	writeJSON(writer, struct {
		item
		CurrentRev int64
	}{current, state.revision})
}

func (store *Store) readRange(writer http.ResponseWriter, request *http.Request) {
	state := store.update(func(state state) state { return state })
	state.writeEra(writer)
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(state.items)) {
		if strings.HasPrefix(key, request.URL.Query().Get("Prefix")) && key > request.URL.Query().Get("After") {
			items = append(items, state.items[key])
		}
	}
	writeJSON(writer, struct {
		Items      []item
		CurrentRev int64
	}{items, state.revision})
}

// commit answers a transaction with the new revision, and with the current items of the keys with an expected
// revision.
func (store *Store) commit(writer http.ResponseWriter, request *http.Request) {
	var change change
	if json.NewDecoder(request.Body).Decode(&change) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	after, status := rcu.Apply(store.state, func(state state) (state, int) {
		now := time.Now()
		next, status := state.withoutExpired(now).withChange(change)
		return next.withBackup(state, now), status
	})
	if store.losesAnswers.Load() && rand.IntN(3) == 0 {
		panic(http.ErrAbortHandler)
	}
	after.writeEra(writer)
	writer.WriteHeader(status)
	conflicts := []item{}
	for _, expected := range change.ExpectedRevision {
		if current, ok := after.items[expected.Key]; ok {
			conflicts = append(conflicts, current)
		}
	}
	writeJSON(writer, struct {
		Revision int64
		Items    []item
	}{after.revision, conflicts})
}

func (store *Store) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct{ TtlMs int64 } //nolint:revive,staticcheck // the platform's spelling is the JSON name
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(body.TtlMs) * time.Millisecond
	after := store.update(func(state state) state {
		state.lastLeaseID++
		return state.withLease(state.lastLeaseID, lease{ttl, time.Now().Add(ttl)})
	})
	after.writeEra(writer)
	writeJSON(writer, struct{ Lease, TtlMs int64 }{after.lastLeaseID, body.TtlMs}) //nolint:revive,staticcheck // as above
}

func (store *Store) keepAlive(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	after := store.update(func(state state) state {
		granted, ok := state.leases[id]
		if !ok {
			return state
		}
		return state.withLease(id, lease{granted.ttl, time.Now().Add(granted.ttl)})
	})
	after.writeEra(writer)
	if _, ok := after.leases[id]; !ok {
		writer.WriteHeader(http.StatusNotFound)
	}
	writeJSON(writer, struct{}{})
}

func (store *Store) revoke(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	after := store.update(func(state state) state { return state.withLease(id, lease{}).withoutExpired(time.Now()) })
	after.writeEra(writer)
	writeJSON(writer, struct{}{})
}

func writeJSON(writer http.ResponseWriter, body any) {
	_ = json.NewEncoder(writer).Encode(body) // A failed write means that the client has disconnected.
}

// with returns the state after a write of a key, attached to a lease unless lease is 0.
func (state state) with(key string, value []byte, lease int64) state {
	next := state
	next.revision++
	next.items = maps.Clone(state.items)
	created := next.revision
	if existing, ok := state.items[key]; ok {
		created = existing.CreateRev
	}
	next.items[key] = item{key, value, next.revision, created, lease}
	next.removed = maps.Clone(state.removed)
	delete(next.removed, key)
	return next
}

func (state state) without(key string) state {
	if _, ok := state.items[key]; !ok {
		return state
	}
	next := state
	next.revision++
	next.items = maps.Clone(state.items)
	delete(next.items, key)
	next.removed = maps.Clone(state.removed)
	if next.removed == nil {
		next.removed = map[string]int64{}
	}
	next.removed[key] = next.revision
	return next
}

func (state state) withLease(id int64, granted lease) state {
	next := state
	next.leases = maps.Clone(state.leases)
	next.leases[id] = granted
	return next
}

// withoutExpired returns the state without the leases that have expired by now and the items attached to them.
func (state state) withoutExpired(now time.Time) state {
	next := state
	for id, granted := range state.leases {
		if granted.expires.After(now) {
			continue
		}
		next.leases = maps.Clone(next.leases)
		delete(next.leases, id)
		for key, item := range state.items {
			if item.Lease == id {
				next = next.without(key)
			}
		}
	}
	return next
}

// withChange returns the state after a transaction, and the HTTP status of the answer. It returns the state
// unchanged if a key is not at its expected revision (412) or a lease does not exist (404).
func (state state) withChange(change change) (state, int) {
	for _, expected := range change.ExpectedRevision {
		if state.items[expected.Key].Revision != expected.Revision {
			return state, http.StatusPreconditionFailed
		}
	}
	next := state
	for _, write := range change.Writes {
		if _, ok := state.leases[write.Lease]; write.Lease != 0 && !ok {
			return state, http.StatusNotFound
		}
		next = next.with(write.Key, write.Value, write.Lease)
	}
	for _, key := range change.Remove {
		next = next.without(key)
	}
	return next, http.StatusOK
}

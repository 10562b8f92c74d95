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

// Store is the metadata store.
type Store struct {
	state *rcu.Cell[state]
	// away and lossy are its faults.
	away  atomic.Bool
	lossy atomic.Bool
	http  *httptest.Server
}

// state is immutable.
type state struct {
	revision int64
	lease    int64
	items    map[string]item
	leases   map[int64]lease
}

type item struct {
	Key       string
	Value     []byte
	Revision  int64
	CreateRev int64
	Lease     int64
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// change is the body of a change.
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

// NewStore starts an empty store.
func NewStore() *Store {
	store := &Store{state: rcu.New(state{items: map[string]item{}, leases: map[int64]lease{}})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", store.get)
	mux.HandleFunc("GET /v1/kv-range", store.list)
	mux.HandleFunc("POST /v1/kv-txn", store.commit)
	mux.HandleFunc("POST /v1/kv-lease", store.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", store.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", store.end)
	store.http = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if store.away.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(writer, request)
	}))
	return store
}

// Address returns "IP:port".
func (store *Store) Address() string { return strings.TrimPrefix(store.http.URL, "http://") }

// Close stops the store.
func (store *Store) Close() { store.http.Close() }

// SetAway makes the store refuse all calls, or answer again.
func (store *Store) SetAway(away bool) { store.away.Store(away) }

// SetLossy makes the store lose the answers of a third of the changes, or none.
func (store *Store) SetLossy(lossy bool) { store.lossy.Store(lossy) }

// Put writes an item without a condition, as operators and runners do.
func (store *Store) Put(key string, value []byte) {
	store.update(func(state state) state { return state.with(key, value, 0) })
}

// Delete removes an item.
func (store *Store) Delete(key string) {
	store.update(func(state state) state { return state.without(key) })
}

func (store *Store) update(change func(state) state) state {
	return store.state.Update(func(state state) state { return change(state.expired(time.Now())) })
}

func (store *Store) get(writer http.ResponseWriter, request *http.Request) {
	state := store.update(func(state state) state { return state })
	found, ok := state.items[request.URL.Query().Get("Key")]
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
	}
	answer(writer, struct {
		item
		CurrentRev int64
	}{found, state.revision})
}

func (store *Store) list(writer http.ResponseWriter, request *http.Request) {
	state := store.update(func(state state) state { return state })
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(state.items)) {
		if strings.HasPrefix(key, request.URL.Query().Get("Prefix")) && key > request.URL.Query().Get("After") {
			items = append(items, state.items[key])
		}
	}
	answer(writer, struct {
		Items      []item
		CurrentRev int64
	}{items, state.revision})
}

func (store *Store) commit(writer http.ResponseWriter, request *http.Request) {
	var change change
	if json.NewDecoder(request.Body).Decode(&change) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	after, status := rcu.Apply(store.state, func(state state) (state, int) { return state.expired(time.Now()).withChange(change) })
	if store.lossy.Load() && rand.IntN(3) == 0 {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(status)
	conflicts := []item{}
	for _, expected := range change.ExpectedRevision {
		if found, ok := after.items[expected.Key]; ok {
			conflicts = append(conflicts, found)
		}
	}
	answer(writer, struct {
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
		state.lease++
		return state.withLease(state.lease, lease{ttl, time.Now().Add(ttl)})
	})
	answer(writer, struct{ Lease, TtlMs int64 }{after.lease, body.TtlMs}) //nolint:revive,staticcheck // as above
}

func (store *Store) keep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	after := store.update(func(state state) state {
		held, ok := state.leases[id]
		if !ok {
			return state
		}
		return state.withLease(id, lease{held.ttl, time.Now().Add(held.ttl)})
	})
	if _, ok := after.leases[id]; !ok {
		writer.WriteHeader(http.StatusNotFound)
	}
	answer(writer, struct{}{})
}

func (store *Store) end(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.update(func(state state) state { return state.withLease(id, lease{}).expired(time.Now()) })
	answer(writer, struct{}{})
}

func answer(writer http.ResponseWriter, body any) {
	_ = json.NewEncoder(writer).Encode(body) // A caller that left needs no answer.
}

func (before state) with(key string, value []byte, lease int64) state {
	next := before
	next.revision++
	next.items = maps.Clone(before.items)
	created := next.revision
	if old, ok := before.items[key]; ok {
		created = old.CreateRev
	}
	next.items[key] = item{key, value, next.revision, created, lease}
	return next
}

func (before state) without(key string) state {
	if _, ok := before.items[key]; !ok {
		return before
	}
	next := before
	next.revision++
	next.items = maps.Clone(before.items)
	delete(next.items, key)
	return next
}

func (before state) withLease(id int64, held lease) state {
	next := before
	next.leases = maps.Clone(before.leases)
	next.leases[id] = held
	return next
}

// expired returns the state without the leases that have ended, and their items.
func (before state) expired(now time.Time) state {
	next := before
	for id, held := range before.leases {
		if held.until.After(now) {
			continue
		}
		next.leases = maps.Clone(next.leases)
		delete(next.leases, id)
		for key, item := range before.items {
			if item.Lease == id {
				next = next.without(key)
			}
		}
	}
	return next
}

func (before state) withChange(change change) (state, int) {
	for _, expected := range change.ExpectedRevision {
		if before.items[expected.Key].Revision != expected.Revision {
			return before, http.StatusPreconditionFailed
		}
	}
	next := before
	for _, write := range change.Writes {
		if _, ok := before.leases[write.Lease]; write.Lease != 0 && !ok {
			return before, http.StatusNotFound
		}
		next = next.with(write.Key, write.Value, write.Lease)
	}
	for _, key := range change.Remove {
		next = next.without(key)
	}
	return next, http.StatusOK
}

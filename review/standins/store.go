//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time in which the store answers a call.
const storeDelay = 4 * time.Millisecond

// item is an item of the store, as it is sent.
type item struct {
	Key       string
	Value     string
	Revision  int64
	CreateRev int64
	Lease     int64
}

// event is a change of a key: an item, or its removal.
type event struct {
	item
	Removed bool `json:",omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a sound metadata store. It has one listener for each entry, so that the caller of each call is known.
type store struct {
	mutex    sync.Mutex
	revision int64
	items    map[string]item
	history  []event
	leases   map[int64]lease
	// lastReader is the entry that last read the registrations of the servers.
	lastReader string
	changed    chan struct{}
}

func newStore() *store {
	return &store{revision: 10, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
}

// listenFor returns the address at which an entry reaches the store.
func (store *store) listenFor(entry string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", store.get)
	mux.HandleFunc("GET /v1/kv-range", store.readRange)
	mux.HandleFunc("GET /v1/kv-watch", store.watch)
	mux.HandleFunc("POST /v1/kv-txn", store.commit)
	mux.HandleFunc("POST /v1/kv-lease", store.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", store.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", store.end)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Query().Get("Prefix"), "servers/") {
			store.mutex.Lock()
			store.lastReader = entry
			store.mutex.Unlock()
		}
		time.Sleep(storeDelay)
		mux.ServeHTTP(writer, request)
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// reader returns the entry that last read the registrations of the servers.
func (store *store) reader() string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.lastReader
}

// put writes an item, and remove removes one, as the operator and the servers do.
func (store *store) put(key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(key, base64.StdEncoding.EncodeToString(value), 0)
}

func (store *store) remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.delete(key)
}

// awaitWrite waits until the item of a key is written.
func (store *store) awaitWrite(key string) {
	revision := func() int64 {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		return store.items[key].Revision
	}
	for before := revision(); revision() == before; {
		time.Sleep(time.Millisecond)
	}
}

// write and delete change an item; the caller holds the mutex.
func (store *store) write(key, value string, lease int64) {
	store.revision++
	next := item{Key: key, Value: value, Revision: store.revision, CreateRev: store.revision, Lease: lease}
	if existing, ok := store.items[key]; ok {
		next.CreateRev = existing.CreateRev
	}
	store.items[key] = next
	store.history = append(store.history, event{item: next})
	store.wake()
}

func (store *store) delete(key string) {
	if _, ok := store.items[key]; !ok {
		return
	}
	store.revision++
	delete(store.items, key)
	store.history = append(store.history, event{item: item{Key: key, Revision: store.revision}, Removed: true})
	store.wake()
}

func (store *store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// expire ends the leases that have expired; the caller holds the mutex.
func (store *store) expire() {
	for id, granted := range store.leases {
		if time.Now().After(granted.expires) {
			store.endLease(id)
		}
	}
}

func (store *store) endLease(id int64) {
	delete(store.leases, id)
	for key, item := range store.items {
		if item.Lease == id {
			store.delete(key)
		}
	}
}

func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	found, ok := store.items[request.URL.Query().Get("Key")]
	if !ok {
		reply(writer, http.StatusNotFound, map[string]any{"CurrentRev": store.revision})
		return
	}
	reply(writer, http.StatusOK, struct {
		item
		CurrentRev int64
	}{found, store.revision})
}

func (store *store) readRange(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	items := []item{}
	for key, item := range store.items {
		if strings.HasPrefix(key, request.URL.Query().Get("Prefix")) && key > request.URL.Query().Get("After") {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(writer, http.StatusOK, map[string]any{"Items": items, "MorePages": false, "CurrentRev": store.revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		store.expire()
		events := []event{}
		for _, event := range store.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("Prefix")) {
				events = append(events, event)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-request.Context().Done():
				return
			case <-deadline:
			}
		}
		reply(writer, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
		return
	}
}

func (store *store) commit(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		ExpectedRevision []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key, Value string
			Lease      int64
		}
		Remove []string
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	holds, current := true, []item{}
	for _, expected := range body.ExpectedRevision {
		found, ok := store.items[expected.Key]
		holds = holds && found.Revision == expected.Revision
		if ok {
			current = append(current, found)
		}
	}
	if !holds {
		reply(writer, http.StatusPreconditionFailed, map[string]any{"Items": current})
		return
	}
	for _, write := range body.Writes {
		if _, ok := store.leases[write.Lease]; write.Lease != 0 && !ok {
			reply(writer, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, write := range body.Writes {
		store.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range body.Remove {
		store.delete(key)
	}
	reply(writer, http.StatusOK, map[string]any{"Revision": store.revision})
}

func (store *store) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct{ TtlMs int64 }
	_ = json.NewDecoder(request.Body).Decode(&body)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	ttl := time.Duration(body.TtlMs) * time.Millisecond
	id := time.Now().UnixNano() / 1000
	store.leases[id] = lease{ttl, time.Now().Add(ttl)}
	reply(writer, http.StatusOK, map[string]any{"Lease": id, "TtlMs": body.TtlMs})
}

func (store *store) keep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	granted, ok := store.leases[id]
	if !ok {
		reply(writer, http.StatusNotFound, map[string]any{})
		return
	}
	store.leases[id] = lease{granted.ttl, time.Now().Add(granted.ttl)}
	reply(writer, http.StatusOK, map[string]any{"TtlMs": granted.ttl.Milliseconds()})
}

func (store *store) end(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.endLease(id)
	reply(writer, http.StatusOK, map[string]any{})
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

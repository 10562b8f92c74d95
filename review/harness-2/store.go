package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key       string
	Value     []byte
	Revision  int64
	CreateRev int64
	Lease     int64
}

// event is an entry of the store's history.
type event struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  int64
	CreateRev int64 `json:",omitempty"`
	Lease     int64 `json:",omitempty"`
	Removed   bool  `json:",omitempty"`
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mutex    sync.Mutex
	revision int64
	items    map[string]item
	events   []event
	leases   map[int64]*leaseState
	lastID   int64
	changed  chan struct{}
	listener net.Listener
}

// newStore starts a store on a free port of address.
func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address+":0")
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, leases: map[int64]*leaseState{}, lastID: 1000, changed: make(chan struct{}), listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	go http.Serve(listener, mux)
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mutex.Lock()
			s.expire()
			s.mutex.Unlock()
		}
	}()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(key, value, 0)
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.drop(key)
}

// write, drop and expire are called with the mutex held.
func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	s.items[key] = item{key, value, s.revision, created, lease}
	s.record(event{Key: key, Value: value, Revision: s.revision, CreateRev: created, Lease: lease})
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(event{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, lease := range s.leases {
		if lease.expires.Before(now) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.drop(key)
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	content, _ := json.Marshal(body)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	writer.WriteHeader(status)
	writer.Write(content)
}

func (s *store) get(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	found, ok := s.items[request.URL.Query().Get("Key")]
	revision := s.revision
	s.mutex.Unlock()
	if !ok {
		reply(writer, http.StatusNotFound, map[string]any{"CurrentRev": revision})
		return
	}
	reply(writer, http.StatusOK, struct {
		item
		CurrentRev int64
	}{found, revision})
}

func (s *store) list(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("Prefix"), request.URL.Query().Get("After")
	s.mutex.Lock()
	items := []item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(writer, http.StatusOK, map[string]any{"Items": items, "MorePages": false, "CurrentRev": revision})
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	deadline := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("Prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(writer, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(writer, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) txn(writer http.ResponseWriter, request *http.Request) {
	var change struct {
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
	if json.NewDecoder(request.Body).Decode(&change) != nil {
		reply(writer, http.StatusBadRequest, struct{}{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	conflict, items := false, []item{}
	for _, expected := range change.ExpectedRevision {
		current, ok := s.items[expected.Key]
		conflict = conflict || current.Revision != expected.Revision
		if ok {
			items = append(items, current)
		}
	}
	if conflict {
		reply(writer, http.StatusPreconditionFailed, map[string]any{"Items": items})
		return
	}
	for _, write := range change.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			reply(writer, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, write := range change.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range change.Remove {
		s.drop(key)
	}
	reply(writer, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct{ TtlMs int64 }
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		reply(writer, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(max(body.TtlMs, 1000)) * time.Millisecond
	s.mutex.Lock()
	s.lastID++
	id := s.lastID
	s.leases[id] = &leaseState{ttl, time.Now().Add(ttl)}
	s.mutex.Unlock()
	reply(writer, http.StatusOK, map[string]any{"Lease": id, "TtlMs": ttl.Milliseconds()})
}

func (s *store) keep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	lease, ok := s.leases[id]
	if !ok {
		reply(writer, http.StatusNotFound, struct{}{})
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	reply(writer, http.StatusOK, struct{}{})
}

func (s *store) end(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	s.mutex.Lock()
	s.endLease(id)
	s.mutex.Unlock()
	reply(writer, http.StatusOK, struct{}{})
}

// newCloud starts a stand-in for the cloud API that accepts all calls, on a free port of address.
func newCloud(address string) (string, error) {
	listener, err := net.Listen("tcp", address+":0")
	if err != nil {
		return "", err
	}
	go http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { reply(writer, http.StatusOK, struct{}{}) }))
	return listener.Addr().String(), nil
}

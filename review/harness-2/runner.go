package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// arrival is a request that has reached a runner.
type arrival struct {
	id, key string
	at      time.Time
	header  http.Header
	path    string
}

// runner is a stand-in for a backend server.
type runner struct {
	id, service string
	fleet       *fleet
	listener    net.Listener
	born        int64
	state       string
	sequence    atomic.Int64
	slots       int
	// handle answers a request that the runner runs.
	handle func(writer http.ResponseWriter, request *http.Request, body []byte)
}

func newRunner(f *fleet, id, service string, slots int, handle func(http.ResponseWriter, *http.Request, []byte)) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.2.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, fleet: f, listener: listener, born: time.Now().UnixMilli(), state: "ready", slots: slots, handle: handle}
	go http.Serve(listener, http.HandlerFunc(r.serve))
	return r, nil
}

// register writes the runner's entry and returns when the store has acknowledged it.
func (r *runner) register(state string) time.Time {
	r.state = state
	content, _ := json.Marshal(map[string]any{
		"Service": r.service, "Address": r.listener.Addr().String(), "Zone": "a", "Version": "v1", "Slots": r.slots, "State": state,
		"ColdRemainingMs": 0, "Sequence": r.sequence.Add(1), "born": r.born,
	})
	r.fleet.store.put("servers/"+r.id, content)
	return time.Now()
}

// heartbeat repeats the entry every HeartbeatMs.
func (r *runner) heartbeat() {
	for range time.Tick(1200 * time.Millisecond) {
		r.register(r.state)
	}
}

func (r *runner) serve(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if id := request.Header.Get("X-Rosemaryspar-Attempt-Id"); id != "" {
		header.Set("X-Rosemaryspar-Attempt-Id", id)
	}
	if request.URL.Path == "/healthz" {
		header.Set("X-Rosemaryspar-Instance-Id", r.id)
		return
	}
	if expected := request.Header.Get("X-Rosemaryspar-Expect-Instance"); expected != "" && expected != r.id {
		header.Set("X-Rosemaryspar-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	header.Set("X-Rosemaryspar-Upstream-Seal", r.id+"."+request.Header.Get("X-Rosemaryspar-Attempt-Id"))
	r.handle(writer, request, body)
}

// loseAnswer closes the connection of a request without an answer.
func loseAnswer(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err == nil {
		conn.Close()
	}
}

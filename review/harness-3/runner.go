//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

// runner is a stand-in for a backend server of a plain service, which registers itself in the store.
type runner struct {
	record  *record
	store   *platform.Store
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	// crashes tells whether a run of a body ends the runner.
	crashes func(body string) bool
	// crashesOnPart tells whether a run of a prompt ends the runner as it begins to write its answer.
	crashesOnPart func(prefix string) bool
	// dark tells whether a crash leaves the connections open and silent, and new ones without an answer, until the runner is back.
	dark bool
	// away is how long the runner is away after a crash.
	away time.Duration
	// events is the number of events of an answer, 0 for a plain answer, with work between two of them.
	events int
	// onRun is called for each request that begins to run.
	onRun  func(run run)
	mutex  sync.Mutex
	id     string
	born   int64
	server *http.Server
	socket *net.TCPListener
	stop   chan struct{}
	starts int
	// crashed is the id under which the runner crashed last.
	crashed  string
	running  atomic.Int64
	sequence int
}

// run is one request that a runner has begun to run.
type run struct {
	at     time.Time
	runner string
	id     string
	path   string
	body   string
	tenant string
	prefix string
}

// start starts the runner under a new id at its address, and registers it.
func (runner *runner) start() error {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	listener, err := net.Listen("tcp", runner.address)
	if err != nil {
		return err
	}
	runner.address = listener.Addr().String()
	runner.starts++
	runner.id = fmt.Sprintf("i-%s-%s-%d", runner.service, runner.zone, runner.starts)
	runner.born = time.Now().UnixMilli()
	runner.sequence = 0
	id := runner.id
	runner.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { runner.serve(id, writer, request) })}
	runner.stop = make(chan struct{})
	runner.socket = listener.(*net.TCPListener)
	go func(server *http.Server, gate *gate) { _ = server.Serve(gate) }(runner.server, &gate{TCPListener: runner.socket, runner: runner, id: id, closed: make(chan struct{})})
	go runner.beat(runner.id, runner.born, runner.stop)
	runner.record.add("runner %s of %s started at %s", runner.id, runner.service, runner.address)
	return nil
}

// beat registers the runner and renews the registration until it ends. The entry of a runner that has crashed is removed after three
// intervals of silence.
func (runner *runner) beat(id string, born int64, stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		value, _ := json.Marshal(map[string]any{
			"Service": runner.service, "Address": runner.address, "Zone": runner.zone, "Version": "v1", "Slots": runner.slots, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": sequence, "born": born,
		})
		runner.store.Put("servers/"+id, value)
		select {
		case <-ticker.C:
		case <-stop:
			time.Sleep(3 * heartbeat)
			runner.store.Delete("servers/" + id)
			return
		}
	}
}

// crash ends the runner with an id at once: its listener and all its connections. It is back under another id after a time.
func (runner *runner) crash(id string, back time.Duration) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if runner.crashed == id {
		return
	}
	runner.crashed = id
	runner.record.say("runner %s of %s crashes", runner.id, runner.service)
	close(runner.stop)
	if runner.dark {
		runner.hangNewConnections()
	} else {
		_ = runner.server.Close()
	}
	server := runner.server
	time.AfterFunc(back, func() {
		_ = server.Close()
		for runner.start() != nil {
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (runner *runner) serve(id string, writer http.ResponseWriter, request *http.Request) {
	if runner.isDark(id) {
		awaitEnd(request)
	}
	header := writer.Header()
	header.Set("X-Rosemaryspar-Instance-Id", id)
	header.Set("X-Rosemaryspar-Upstream-Load", fmt.Sprintf("%d,0,%d,100", runner.running.Load(), runner.slots))
	if request.URL.Path == "/healthz" {
		return
	}
	attempt := request.Header.Get("X-Rosemaryspar-Attempt-Id")
	if expected := request.Header.Get("X-Rosemaryspar-Expect-Instance"); expected != "" && expected != id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		header.Set("X-Rosemaryspar-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	header.Set("X-Rosemaryspar-Attempt-Id", attempt)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if runner.running.Add(1) > int64(4*runner.slots) {
		runner.running.Add(-1)
		header.Set("X-Rosemaryspar-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer runner.running.Add(-1)
	begun := run{at: time.Now(), runner: id, id: attempt, path: request.URL.Path, body: string(body), tenant: request.Header.Get("X-Rosemaryspar-Tenant"), prefix: request.Header.Get("X-Rosemaryspar-Prompt-Prefix")}
	runner.record.add("runner %s runs %s %s %q", id, attempt, begun.path, short(begun.body))
	if runner.onRun != nil {
		runner.onRun(begun)
	}
	if runner.crashes != nil && runner.crashes(begun.body) {
		runner.crash(id, runner.away)
		if runner.dark {
			awaitEnd(request)
		}
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(runner.work):
	case <-request.Context().Done():
		return
	}
	if runner.isDark(id) {
		awaitEnd(request)
	}
	if runner.crashesOnPart != nil && runner.crashesOnPart(begun.prefix) {
		runner.crash(id, runner.away)
		panic(http.ErrAbortHandler)
	}
	header.Set("X-Rosemaryspar-Upstream-Seal", "seal."+id+"."+attempt)
	if runner.events > 0 {
		runner.stream(writer, request)
		return
	}
	_, _ = fmt.Fprintf(writer, "done %s", attempt)
}

// stream writes an answer of some events.
func (runner *runner) stream(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= runner.events; event++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", event, event); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-time.After(runner.work):
		case <-request.Context().Done():
			return
		}
	}
}

func short(text string) string { return text[:min(len(text), 40)] }

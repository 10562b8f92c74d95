//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamEvents is the number of events of each stream, and eventPause the usual time before each.
	streamEvents = 8
	eventPause   = 20 * time.Millisecond
	// plainWork is the time that a plain answer takes.
	plainWork = 30 * time.Millisecond
)

// arrival is a request that reached a server and ran.
type arrival struct {
	attempt string
	server  string
	path    string
	at      time.Time
}

// runs are the requests that ran, at all servers.
type runs struct {
	mutex sync.Mutex
	list  []arrival
}

func (runs *runs) add(next arrival) {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.list = append(runs.list, next)
}

func (runs *runs) all() []arrival {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	return append([]arrival(nil), runs.list...)
}

// runner is a sound server, but for what its fields say.
type runner struct {
	id, service, zone, address string
	born                       int64
	sequence                   int
	runs                       *runs
	store                      *store
	server                     *http.Server
	// unframed reports whether streams have no length and end with their connection.
	unframed bool
	// tears reports whether the next stream breaks off inside an event.
	tears func() bool
	// reads reports whether the server reads the whole request before it runs it.
	reads bool
	// prefill is the time before the first event of a stream, in addition to pause.
	prefill time.Duration
	// pause is the time before each event of a stream.
	pause time.Duration
	// crash is called with each request, if it is set, and reports whether it has ended the server.
	crash func(writer http.ResponseWriter, request *http.Request) bool
	// leaving ends the registrations.
	leaving atomic.Bool
}

// newRunner starts a server and registers it; it then registers every heartbeat until it leaves.
func newRunner(store *store, runs *runs, id, service, zone string) *runner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	runner := &runner{
		id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), runs: runs, store: store, pause: eventPause,
		tears: func() bool { return false },
	}
	runner.server = &http.Server{Handler: http.HandlerFunc(runner.serve)}
	go func() { _ = runner.server.Serve(listener) }()
	runner.register()
	go func() {
		time.Sleep(rand.N(heartbeat))
		for {
			time.Sleep(heartbeat)
			if runner.leaving.Load() {
				return
			}
			runner.register()
		}
	}()
	return runner
}

func (runner *runner) register() {
	runner.sequence++
	content, err := json.Marshal(map[string]any{
		"Service": runner.service, "Address": runner.address, "Zone": runner.zone, "Version": "v1", "Slots": 64, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": runner.sequence, "born": runner.born,
	})
	must(err)
	runner.store.put("servers/"+runner.id, content)
}

// leave removes the registration, as a server does that never reports that it drains. It goes on to serve.
func (runner *runner) leave() {
	runner.leaving.Store(true)
	runner.store.remove("servers/" + runner.id)
}

// exit ends the server and its connections.
func (runner *runner) exit() { _ = runner.server.Close() }

func (runner *runner) serve(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Rosemaryspar-Attempt-Id")
	writer.Header().Set("X-Rosemaryspar-Attempt-Id", attempt)
	if expected := request.Header.Get("X-Rosemaryspar-Expect-Instance"); expected != "" && expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if runner.reads {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
	if runner.crash != nil && runner.crash(writer, request) {
		return
	}
	runner.runs.add(arrival{attempt: attempt, server: runner.id, path: request.URL.Path, at: time.Now()})
	writer.Header().Set("X-Rosemaryspar-Upstream-Seal", runner.id+"."+attempt)
	if runner.service == plainName {
		time.Sleep(plainWork)
		_, _ = fmt.Fprintf(writer, "answer to %s", attempt)
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if runner.unframed {
		runner.streamUnframed(writer, attempt, after)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(runner.prefill)
	for number := after + 1; number <= streamEvents; number++ {
		time.Sleep(runner.pause)
		if _, err := fmt.Fprint(writer, eventText(attempt, number)); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
}

// streamUnframed answers with a stream that has neither a length nor chunks and ends with its connection.
func (runner *runner) streamUnframed(writer http.ResponseWriter, attempt string, after int) {
	tears := runner.tears()
	conn, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Rosemaryspar-Attempt-Id: %s\r\nX-Rosemaryspar-Upstream-Seal: %s.%s\r\n\r\n", attempt, runner.id, attempt)
	for number := after + 1; number <= streamEvents; number++ {
		time.Sleep(runner.pause)
		text := eventText(attempt, number)
		if tears && number == after+(streamEvents-after+1)/2 {
			text = text[:len(text)/2]
		}
		_, _ = buffer.WriteString(text)
		if buffer.Flush() != nil || len(text) < len(eventText(attempt, number)) {
			return
		}
	}
}

// eventText returns an event of the stream of an attempt.
func eventText(attempt string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, attempt, number)
}

//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["deadly-part"] = deadlyPart }

const (
	// deadlyID is the part of prompts with which servers crash, and deadlyEvery the number of requests of which one has it.
	deadlyID    = "dead0123"
	deadlyEvery = 40
	deadlyTime  = 20 * time.Second
	// downTime is the time for which a server that has crashed is down. It comes back under a new id.
	downTime = 3 * time.Second
	// lapseTime is the silence after which the store removes the registration of a server.
	lapseTime = 3 * heartbeat
	// firstBytes are what a server writes of its answer before it crashes.
	firstBytes = "id: 1\nda"
	// contactMs and laterRequests are the bounds of the rule, crashLimit the crash from which they count.
	contactMs     = 3 * time.Second
	laterRequests = 3
	crashLimit    = 5
)

// engines are servers that crash with a part of a prompt, and come back.
type engines struct {
	mutex   sync.Mutex
	store   *store
	runs    *runs
	record  *record
	deadly  bool
	count   int
	crashes []time.Time
	// arrivals are the times at which requests with the part reached a server.
	arrivals []time.Time
}

func (engines *engines) start(zone string) {
	engines.mutex.Lock()
	engines.count++
	id := fmt.Sprintf("i-%03d", engines.count)
	engines.mutex.Unlock()
	runner := newRunner(engines.store, engines.runs, id, engineName, zone)
	runner.crash = func(writer http.ResponseWriter, request *http.Request) bool {
		if !engines.deadly || !strings.Contains(request.Header.Get("X-Rosemaryspar-Prompt-Prefix"), deadlyID) {
			return false
		}
		engines.crash(runner, writer, request)
		return true
	}
}

// crash ends a server while it writes the first event of an answer, with all its connections. FIRST_BYTES=0 lets it crash
// before the first byte.
func (engines *engines) crash(runner *runner, writer http.ResponseWriter, request *http.Request) {
	engines.mutex.Lock()
	engines.arrivals = append(engines.arrivals, time.Now())
	engines.mutex.Unlock()
	time.Sleep(runner.pause)
	conn, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	attempt := request.Header.Get("X-Rosemaryspar-Attempt-Id")
	if os.Getenv("FIRST_BYTES") != "0" {
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Rosemaryspar-Attempt-Id: %s\r\nX-Rosemaryspar-Upstream-Seal: %s.%s\r\n\r\n%x\r\n%s\r\n", attempt, runner.id, attempt, len(firstBytes), firstBytes)
		_ = buffer.Flush()
		time.Sleep(time.Millisecond)
	}
	_ = conn.Close()
	runner.leaving.Store(true)
	runner.exit()
	engines.mutex.Lock()
	engines.crashes = append(engines.crashes, time.Now())
	engines.mutex.Unlock()
	engines.record.add("%s crashes while it begins to answer %s", runner.id, attempt)
	time.AfterFunc(downTime, func() { engines.start(runner.zone) })
	time.AfterFunc(lapseTime, func() { engines.store.remove("servers/" + runner.id) })
}

// deadlyPart has requests with nothing but a part of their prompt in common, with which each server crashes that begins to write
// an answer. It checks that few of them reach servers once five servers have crashed.
func deadlyPart(record *record, trouble bool) bool {
	deployment := newDeployment(record, 9, smallConfiguration(), smallBounds(), "usage_report")
	defer deployment.stop()
	runs := &runs{}
	engines := &engines{store: deployment.store, runs: runs, record: record, deadly: trouble}
	for i := range 18 {
		engines.start(zones[i%3])
	}
	deployment.awaitReady()
	time.Sleep(4 * time.Second)
	clients := newClients()
	var unserved atomic.Int64
	clients.run(60, time.Now().Add(deadlyTime), func(number int) {
		entry := deployment.entries[number%len(deployment.entries)]
		parts := fmt.Sprintf("5c1e%02x:341,7a%02x:227", rand.IntN(20), rand.IntN(250))
		if number%deadlyEvery == 0 {
			parts += "," + deadlyID + ":300"
		}
		sent := clients.sendPrompt(entry, draftPrefix+"2f", parts, 4*time.Second)
		record.add("%s to %s, parts %s: status %d, %d bytes, complete %v, error %v", sent.id, sent.entry, parts, sent.status, len(sent.body), sent.complete, sent.err)
		if number%deadlyEvery != 0 && (sent.status != http.StatusOK || !sent.complete) {
			unserved.Add(1)
		}
	})
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	slices.SortFunc(engines.crashes, time.Time.Compare)
	later := 0
	for _, arrival := range engines.arrivals {
		if len(engines.crashes) >= crashLimit && arrival.Sub(engines.crashes[crashLimit-1]) > contactMs {
			later++
		}
	}
	record.add("%d requests ran, %d servers crashed; %d requests with the part reached servers later than %v after crash %d",
		len(runs.all()), len(engines.crashes), later, contactMs, crashLimit)
	record.add("%d sound requests got no complete answer with status 200", unserved.Load())
	if len(runs.all()) < 300 || trouble && len(engines.crashes) < crashLimit {
		deployment.stop()
		cannotRun("too few requests ran or too few servers crashed")
	}
	return later > laterRequests
}

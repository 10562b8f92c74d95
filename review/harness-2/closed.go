package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// closedTime is the time for which the runner wants nothing, and closedMargin that after which it counts requests.
	closedTime   = 10 * time.Second
	closedMargin = 500 * time.Millisecond
	// maxClosedArrivals is the number of requests that may reach it from a machine meanwhile.
	maxClosedArrivals = 2
	closedClients     = 64
)

// closedRelisted: a runner asks for no requests for a time, and another writer overwrites its entry in the store for a moment.
func closedRelisted(r *record, trouble bool) (outcome, string) {
	f, err := newFleet(r, 1)
	if err != nil {
		return failed, err.Error()
	}
	defer f.stop()
	var mutex sync.Mutex
	var closedAt time.Time
	late := 0
	x, err := newRunner(f, "i-x", "orders", 8, func(writer http.ResponseWriter, request *http.Request, _ []byte) {
		id := request.Header.Get("X-Rosemaryspar-Attempt-Id")
		mutex.Lock()
		defer mutex.Unlock()
		if closedAt.IsZero() && strings.HasPrefix(id, "warm") {
			io.WriteString(writer, "done")
			return
		}
		if closedAt.IsZero() {
			closedAt = time.Now()
		}
		since := time.Since(closedAt)
		if since >= closedTime {
			io.WriteString(writer, "done")
			return
		}
		if since > closedMargin {
			late++
		}
		left := strconv.FormatFloat((closedTime - since).Seconds(), 'f', 3, 64)
		r.add("runner i-x turns %s away with Retry-After %s", id, left)
		writer.Header().Del("X-Rosemaryspar-Upstream-Seal")
		writer.Header().Set("X-Rosemaryspar-Not-Executed", "1")
		writer.Header().Set("Retry-After", left)
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	if err != nil {
		return failed, err.Error()
	}
	y, err := newRunner(f, "i-y", "orders", 64, func(writer http.ResponseWriter, _ *http.Request, _ []byte) {
		time.Sleep(30 * time.Millisecond)
		io.WriteString(writer, "done")
	})
	if err != nil {
		return failed, err.Error()
	}
	route := map[string]any{"Name": "book-order", "Hostname": "a.example", "Prefix": "/order/", "RouteType": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 2, "Service": "orders", "Attempts": 1}
	service := map[string]any{"Name": "orders", "HealthPath": "/healthz", "MaxConnections": 110}
	f.putConfiguration([]any{route}, []any{service}, []any{map[string]any{"Name": "desk", "ApiKeys": []string{"key-desk"}}})
	x.register("ready")
	y.register("ready")
	go x.heartbeat()
	go y.heartbeat()
	if err := f.startEntries(); err != nil {
		return failed, err.Error()
	}
	time.Sleep(3500 * time.Millisecond)
	var count int
	statuses := map[int]int{}
	burst := func(name string) {
		var group sync.WaitGroup
		for i := range closedClients {
			group.Go(func() {
				c := &keptClient{}
				if c.dial(f.entries[0].front) != nil {
					return
				}
				defer c.conn.Close()
				if c.send(fmt.Sprintf("%s-%d-%d", name, count, i), "key-desk") != nil {
					return
				}
				status, _ := c.receive()
				mutex.Lock()
				statuses[status]++
				mutex.Unlock()
			})
		}
		group.Wait()
		count++
	}
	burst("warm")
	isClosed := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return !closedAt.IsZero()
	}
	for deadline := time.Now().Add(5 * time.Second); !isClosed() && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		burst("call")
	}
	if !isClosed() {
		return failed, "no request reached the runner that turns requests away"
	}
	nextTrouble, written := closedAt.Add(time.Second), x.sequence.Load()
	for end := closedAt.Add(closedTime - 500*time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if sequence := x.sequence.Load(); trouble && time.Now().After(nextTrouble) && sequence != written {
			f.store.put("servers/i-x", []byte(`{"Service":"orders","State":"ready"}`))
			r.add("another writer writes an entry with missing fields under servers/i-x; the runner writes its own within 1.2 s")
			written, nextTrouble = sequence, time.Now().Add(time.Minute)
		}
		burst("call")
	}
	mutex.Lock()
	defer mutex.Unlock()
	r.add("answers by status: %v", statuses)
	text := fmt.Sprintf("%d requests of one machine reached the runner between half a second after its 503 with Retry-After and the end of that time", late)
	if late > maxClosedArrivals {
		return broken, "BUDGET: " + text
	}
	return held, text
}

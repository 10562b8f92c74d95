package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	contactTime = 3000 * time.Millisecond
	// deadlyServers is the number of engines, and deadlyBack the time after which one that crashed is back under a new id.
	deadlyServers = 18
	deadlyBack    = 3 * time.Second
	// deadlyTime is how long requests come, deadlyPause the time between two of them, and deadlyEvery how many there are for each with the part.
	deadlyTime  = 20 * time.Second
	deadlyPause = 10 * time.Millisecond
	deadlyEvery = 40
	// maxDeadlyArrivals is the number of requests with the part that may reach runners later than contactTime after the fifth crash.
	maxDeadlyArrivals = 3
	deadlyEvents      = 12
	deadlyPart        = "deadbeef:400"
)

// engine is a runner that a part of prompts crashes.
type engine struct {
	*runner
	server *http.Server
}

// deadlyFleet is the engines of a case and what reached them.
type deadlyFleet struct {
	*fleet
	mutex   sync.Mutex
	crashes []time.Time
	late    []string
	next    int
	// firstEvent reports whether an engine writes its first event before it crashes.
	firstEvent bool
}

// startEngine starts an engine with a new id and registers it.
func (d *deadlyFleet) startEngine() error {
	d.mutex.Lock()
	d.next++
	id := fmt.Sprintf("i-%d", d.next)
	d.mutex.Unlock()
	listener, err := net.Listen("tcp", "127.0.2.1:0")
	if err != nil {
		return err
	}
	e := &engine{runner: &runner{id: id, service: "llm", fleet: d.fleet, listener: listener, born: time.Now().UnixMilli(), slots: 64}}
	ended := make(chan struct{})
	e.handle = func(writer http.ResponseWriter, request *http.Request, _ []byte) { d.run(e, ended, writer, request) }
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(listener)
	e.register("ready")
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
				e.register("ready")
			}
		}
	}()
	return nil
}

// run answers a request, or crashes the engine if the request has the part.
func (d *deadlyFleet) run(e *engine, ended chan struct{}, writer http.ResponseWriter, request *http.Request) {
	id, deadly := request.Header.Get("X-Rosemaryspar-Attempt-Id"), strings.Contains(request.Header.Get("X-Rosemaryspar-Prompt-Prefix"), deadlyPart)
	if deadly {
		d.mutex.Lock()
		if len(d.crashes) >= 5 && time.Since(d.crashes[4]) > contactTime {
			d.late = append(d.late, id)
		}
		d.mutex.Unlock()
	}
	time.Sleep(60 * time.Millisecond) // the prompt is read
	writer.Header().Set("Content-Type", "text/event-stream")
	start := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &start)
	for event := start + 1; event <= deadlyEvents; event++ {
		if deadly && (!d.firstEvent || event > start+1) {
			d.crash(e, ended, id)
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, id); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// crash ends an engine with all its connections, and starts another one after deadlyBack.
func (d *deadlyFleet) crash(e *engine, ended chan struct{}, id string) {
	d.mutex.Lock()
	select {
	case <-ended:
		d.mutex.Unlock()
		return
	default:
		close(ended)
	}
	d.crashes = append(d.crashes, time.Now())
	count := len(d.crashes)
	d.mutex.Unlock()
	d.record.add("engine %s crashes as it answers %s (crash %d)", e.id, id, count)
	_ = e.server.Close()
	time.AfterFunc(deadlyBack, func() {
		d.store.remove("servers/" + e.id)
		_ = d.startEngine()
	})
}

// deadlyPartCase: a part of prompts crashes each engine that begins to write an answer on it, behind its first event.
func deadlyPartCase(r *record, trouble bool) (outcome, string) {
	f, err := newFleet(r, 3)
	if err != nil {
		return failed, err.Error()
	}
	defer f.stop()
	d := &deadlyFleet{fleet: f, firstEvent: os.Getenv("FIRST_EVENT") != "0"}
	route := map[string]any{
		"Name": "menu-plan", "Hostname": "a.example", "Prefix": "/plan/", "RouteType": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 600,
		"GapAimMs": 250, "Priority": 1, "Service": "llm", "Attempts": 1, "SessionAffinity": true, "StreamResume": false,
	}
	service := map[string]any{"Name": "llm", "HealthPath": "/healthz", "MaxConnections": 370, "Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 448444}}
	f.putConfiguration([]any{route}, []any{service}, []any{map[string]any{"Name": "desk", "ApiKeys": []string{"key-desk"}}})
	for range deadlyServers {
		if err := d.startEngine(); err != nil {
			return failed, err.Error()
		}
	}
	if err := f.startEntries(); err != nil {
		return failed, err.Error()
	}
	time.Sleep(3500 * time.Millisecond)
	var group sync.WaitGroup
	sound, cut := 0, 0
	number := 0
	for end := time.Now().Add(deadlyTime); time.Now().Before(end); time.Sleep(deadlyPause) {
		number++
		n := number
		group.Go(func() {
			deadly := trouble && n%deadlyEvery == 0
			part := fmt.Sprintf("%x:400", 0xa000+n%7)
			if deadly {
				part = deadlyPart
			}
			whole := sendPlan(f.entries[n%len(f.entries)].front, fmt.Sprintf("r%d", n), fmt.Sprintf("5c1e07a2:800,%s,%x:250", part, 0xb0000+n))
			d.mutex.Lock()
			defer d.mutex.Unlock()
			if !deadly {
				sound++
				if !whole {
					cut++
				}
			}
		})
	}
	group.Wait()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r.add("%d sound requests, %d of them without a whole answer; %d crashes", sound, cut, len(d.crashes))
	text := fmt.Sprintf("%d requests with the part reached engines later than ContactMs after the fifth crash; %d crashes; %d of %d sound requests have no whole answer", len(d.late), len(d.crashes), cut, sound)
	if len(d.late) > maxDeadlyArrivals {
		return broken, "BUDGET: " + text
	}
	return held, text
}

// sendPlan sends one request on a connection of its own and reports whether its answer is whole.
func sendPlan(address, id, parts string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	fmt.Fprintf(conn, "POST /plan/1 HTTP/1.1\r\nHost: a.example\r\nX-Rosemaryspar-Attempt-Id: %s\r\nX-Rosemaryspar-Deadline-Ms: 6000\r\nAuthorization: Bearer key-desk\r\n"+
		"X-Rosemaryspar-Model: m\r\nX-Rosemaryspar-Token-Usage: 1450,36\r\nX-Rosemaryspar-Prompt-Prefix: %s\r\nContent-Length: %d\r\n\r\n%s", id, parts, len(id), id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && strings.Count(string(body), "data: ") == deadlyEvents
}

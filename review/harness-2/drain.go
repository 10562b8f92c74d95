package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	drainTime = 2000 * time.Millisecond
	// targetLatency is the route's TargetLatencyMs. Clients abandon a stream before its first event after four times as long.
	targetLatency = 800 * time.Millisecond
	patience      = 4 * targetLatency
	// slowWork is the time that the slow runner takes until it would begin its answer.
	slowWork = 2700 * time.Millisecond
	calls    = 4
)

// drainRepeat: a runner reports draining while it works on requests; the answers of these are lost once DrainMs has passed. No request may
// reach the runner after DrainMs.
func drainRepeat(r *record, trouble bool) (outcome, string) {
	f, err := newFleet(r, 2)
	if err != nil {
		return failed, err.Error()
	}
	defer f.stop()
	var mutex sync.Mutex
	var drainingAt time.Time
	late := []string{}
	runs := map[string]int{}
	answer := func(name string) func(http.ResponseWriter, *http.Request, []byte) {
		return func(writer http.ResponseWriter, request *http.Request, _ []byte) {
			id := request.Header.Get("X-Rosemaryspar-Attempt-Id")
			mutex.Lock()
			runs[id]++
			run := runs[id]
			if name == "i-x" && !drainingAt.IsZero() && time.Since(drainingAt) > drainTime {
				late = append(late, fmt.Sprintf("%s reached the runner %v after its draining was acknowledged", id, time.Since(drainingAt).Round(time.Millisecond)))
			}
			mutex.Unlock()
			r.add("runner %s begins %s (arrival %d of this id)", name, id, run)
			if strings.HasPrefix(id, "slow-") && run == 1 {
				time.Sleep(slowWork)
				if trouble {
					r.add("runner %s: the answer of %s is lost", name, id)
					loseAnswer(writer)
					return
				}
			}
			writer.Header().Set("Content-Type", "text/event-stream")
			for event := 1; event <= 3; event++ {
				fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, id)
			}
		}
	}
	x, err := newRunner(f, "i-x", "llm", 64, answer("i-x"))
	if err != nil {
		return failed, err.Error()
	}
	y, err := newRunner(f, "i-y", "llm", 64, answer("i-y"))
	if err != nil {
		return failed, err.Error()
	}
	route := map[string]any{
		"Name": "tray-note", "Hostname": "a.example", "Prefix": "/note/", "RouteType": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": targetLatency.Milliseconds(),
		"GapAimMs": 250, "Priority": 0, "Service": "llm", "Attempts": 2, "SessionAffinity": true, "StreamResume": true,
	}
	service := map[string]any{"Name": "llm", "HealthPath": "/healthz", "MaxConnections": 370, "Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 448444}}
	tenant := map[string]any{"Name": "desk", "ApiKeys": []string{"key-one"}, "Unit": "tokens", "PlainTokens": 200}
	f.putConfiguration([]any{route}, []any{service}, []any{tenant})
	x.register("ready")
	go x.heartbeat()
	if err := f.startEntries(); err != nil {
		return failed, err.Error()
	}
	time.Sleep(3500 * time.Millisecond) // ContactMs, after which the machines are in touch
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: calls, ResponseHeaderTimeout: patience}}
	send := func(id string) string {
		request, _ := http.NewRequest(http.MethodPost, "http://"+f.entries[0].front+"/note/1", strings.NewReader("a prompt"))
		request.Host = "a.example"
		for name, value := range map[string]string{
			"X-Rosemaryspar-Attempt-Id": id, "X-Rosemaryspar-Deadline-Ms": "6000", "Authorization": "Bearer key-one", "X-Rosemaryspar-Model": "m",
			"X-Rosemaryspar-Token-Usage": "120,9", "X-Rosemaryspar-Prompt-Prefix": "5c1e07a2:80,91bd3f06:40",
		} {
			request.Header.Set(name, value)
		}
		r.add("client sends %s", id)
		response, err := client.Do(request)
		if err != nil {
			r.add("client: %s ends: %v", id, err)
			return "error"
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		r.add("client gets %d for %s, %d bytes, %v", response.StatusCode, id, len(body), err)
		return response.Status
	}
	var group sync.WaitGroup
	each := func(prefix string) {
		for i := range calls {
			group.Go(func() { send(fmt.Sprintf("%s%d", prefix, i)) })
		}
	}
	each("warm-") // The entry then has idle connections to the runner, as in any traffic.
	group.Wait()
	time.Sleep(300 * time.Millisecond)
	each("slow-")
	time.Sleep(100 * time.Millisecond)
	y.register("ready") // the replacement starts first
	go y.heartbeat()
	acknowledged := x.register("draining")
	mutex.Lock()
	drainingAt = acknowledged
	mutex.Unlock()
	r.add("the store acknowledges that i-x is draining")
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	mutex.Lock()
	defer mutex.Unlock()
	if len(late) > 0 {
		return broken, "DRAIN: " + strings.Join(late, "; ")
	}
	return held, "no request reached the runner later than DrainMs after its draining was acknowledged"
}

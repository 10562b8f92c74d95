//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

const (
	host       = "ficu95.example"
	orderPath  = "/puxa403/2f"
	stockPath  = "/cufi504/fi50/2f"
	crashBody  = `{"order":"this order crashes each runner that begins to run it"}`
	desk       = "hule930"
	deskKey    = "i9n73hh2b9wu3fexd9dn"
	maxRetries = 3 // the rule: "more than three retries"
)

// plainConfiguration returns a configuration with a plain service with two routes.
func plainConfiguration(version int) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": host, "Prefix": prefix, "RouteType": kind, "TimeoutMs": 1000, "TargetLatencyMs": 150, "Priority": 2,
			"Service": "commandes", "Attempts": attempts, "Public": false, "SessionAffinity": false, "StreamResume": false,
		}
	}
	value, _ := json.Marshal(map[string]any{
		"Version":  version,
		"Routes":   []any{route("order", "/puxa403/", "non_idempotent", 1), route("stock", "/cufi504/", "idempotent", 2)},
		"Services": []any{map[string]any{"Name": "commandes", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{
			"Name": desk, "ApiKeys": []string{deskKey}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 181347, "Burst": 181347,
		}},
	})
	return value
}

// crashingRequest sends one order again and again that crashes each runner that begins to run it, at all entries in turn, every 2 s.
func crashingRequest(setup setup) (bool, error) {
	record := setup.record
	store, cloud := platform.NewStore(), platform.NewCloud()
	defer store.Close()
	defer cloud.Close()
	store.Put("op/config", plainConfiguration(7))
	var mutex sync.Mutex
	var crashRuns []time.Time
	for _, zone := range []string{"quimper", "vannes", "morlaix"} {
		runner := &runner{record: record, store: store, service: "commandes", zone: zone, address: "127.0.0.1:0", away: 3 * time.Second, slots: 6, work: 30 * time.Millisecond}
		runner.crashes = func(body string) bool { return setup.trouble && body == crashBody }
		runner.onRun = func(run run) {
			if run.body == crashBody {
				mutex.Lock()
				crashRuns = append(crashRuns, run.at)
				mutex.Unlock()
			}
		}
		if err := runner.start(); err != nil {
			return false, err
		}
	}
	fleet, err := newFleet(record, setup.folder, setup.root, 8, store.Address(), cloud.Address(), nil)
	if err != nil {
		return false, err
	}
	defer fleet.killAll()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contactTime) // From here on, all entries are in touch.
	var usual, served atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { // the usual orders and lookups, which crash nothing
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			clients.Go(func() {
				usualCall := call{method: "POST", host: host, path: orderPath, body: fmt.Sprintf(`{"order":%d}`, i), key: deskKey, deadline: time.Second}
				if i%3 == 0 {
					usualCall.method, usualCall.path, usualCall.body = "GET", stockPath, ""
				}
				usual.Add(1)
				if send(record, fleet.nodes[i%len(fleet.nodes)].front, usualCall).status == 200 {
					served.Add(1)
				}
			})
		}
	})
	statuses := map[int]int{}
	for i, begin := 0, time.Now(); time.Since(begin) < 96*time.Second; i++ {
		got := send(record, fleet.nodes[i%len(fleet.nodes)].front, call{method: "POST", host: host, path: orderPath, body: crashBody, key: deskKey, deadline: time.Second})
		statuses[got.status]++
		time.Sleep(2*time.Second - min(got.after, time.Second))
	}
	close(stop)
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	for i, at := range crashRuns {
		isLate := i >= 3 && at.Sub(crashRuns[2]) > contactTime
		if isLate {
			late++
		}
		record.say("run %d of the crashing order at %.3f s, counted: %v", i+1, at.Sub(record.startedAt).Seconds(), isLate)
	}
	record.say("usual calls: %d, served: %d; answers to the crashing order by status: %v", usual.Load(), served.Load(), statuses)
	if served.Load() < usual.Load()/2 {
		return false, fmt.Errorf("only %d of %d usual calls were served", served.Load(), usual.Load())
	}
	if !setup.trouble {
		return true, nil // The order crashes nothing, so that each of its runs is allowed.
	}
	record.say("runs of the crashing order more than %v after the third crash: %d, allowed: %d", contactTime, late, maxRetries)
	return late <= maxRetries, nil
}

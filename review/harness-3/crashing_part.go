//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

const (
	checklistPath = "/volo102/2f"
	// badPart crashes each runner that begins to write an answer on it, and sharedPart is in all prompts.
	badPart    = "bad0bad0"
	sharedPart = "5c1e07a2"
	// maxPartRequests is the rule: "More than three requests with a part that crashes runners ... later than ContactMs after the fifth crash".
	maxPartRequests = 3
	// soundInterval is the time between two sound requests, and badInterval between two with the bad part.
	soundInterval = 500 * time.Millisecond
	badInterval   = time.Second
	partTime      = 60 * time.Second
)

// engineConfiguration returns a configuration with one service of engines.
func engineConfiguration(version int) []byte {
	value, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "checklist", "Hostname": host, "Prefix": "/volo102/", "RouteType": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 400, "Priority": 2,
			"Service": "atelier-llm", "Attempts": 1, "Public": false, "SessionAffinity": true, "StreamResume": false, "GapAimMs": 250,
		}},
		"Services": []any{map[string]any{
			"Name": "atelier-llm", "HealthPath": "/healthz", "MaxConnections": 370, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 354809, "KvTokenBytes": 163840, "LinkMbps": 1100000.0, "Stride": 3, "Models": []any{map[string]any{"Name": "m"}}},
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{
			"Name": desk, "ApiKeys": []string{deskKey}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 181347, "Burst": 181347,
		}},
	})
	return value
}

// crashingPart sends requests with a part of a prompt that crashes each runner that begins to write an answer on it, no two alike, beside
// few sound ones, at all entries in turn.
func crashingPart(setup setup) (bool, error) {
	record := setup.record
	store, cloud := platform.NewStore(), platform.NewCloud()
	defer store.Close()
	defer cloud.Close()
	store.Put("op/config", engineConfiguration(7))
	var mutex sync.Mutex
	var badRuns []time.Time
	zones := []string{"quimper", "vannes", "morlaix"}
	for i := range 12 {
		runner := &runner{record: record, store: store, service: "atelier-llm", zone: fmt.Sprint(zones[i%3], "-", i/3), address: "127.0.0.1:0", away: 3 * time.Second, slots: 64, work: 20 * time.Millisecond, events: 8}
		runner.crashesOnPart = func(prefix string) bool { return setup.trouble && strings.Contains(prefix, badPart) }
		runner.onRun = func(run run) {
			if strings.Contains(run.prefix, badPart) {
				mutex.Lock()
				badRuns = append(badRuns, run.at)
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
	request := func(part string) call {
		own := rand.Uint32()
		return call{
			method: "POST", host: host, path: checklistPath, body: fmt.Sprintf("prompt %08x", own), key: deskKey, deadline: 5 * time.Second,
			header: map[string]string{
				"X-Rosemaryspar-Model": "m", "X-Rosemaryspar-Token-Usage": "543,90",
				"X-Rosemaryspar-Prompt-Prefix": fmt.Sprintf("%s:103,%s:69,%08x:371", sharedPart, part, own),
			},
		}
	}
	var sound, served atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan struct{})
	every := func(interval time.Duration, send func(i int)) {
		clients.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
					clients.Go(func() { send(i) })
				}
			}
		})
	}
	every(soundInterval, func(i int) {
		sound.Add(1)
		if send(record, fleet.nodes[i%len(fleet.nodes)].front, request(fmt.Sprintf("91bd3f%02d", i%20))).status == 200 {
			served.Add(1)
		}
	})
	statuses := map[int]int{}
	every(badInterval, func(i int) {
		got := send(record, fleet.nodes[(3*i+1)%len(fleet.nodes)].front, request(badPart))
		mutex.Lock()
		statuses[got.status]++
		mutex.Unlock()
	})
	time.Sleep(partTime)
	close(stop)
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	for i, at := range badRuns {
		isLate := i >= 5 && at.Sub(badRuns[4]) > contactTime
		if isLate {
			late++
		}
		record.say("run %d with the bad part at %.3f s, counted: %v", i+1, at.Sub(record.startedAt).Seconds(), isLate)
	}
	record.say("sound requests: %d, served: %d; answers to those with the bad part by status: %v", sound.Load(), served.Load(), statuses)
	if served.Load() < sound.Load()/2 {
		record.say("fewer than half of the sound requests were served")
	}
	if !setup.trouble {
		return true, nil // The part crashes nothing, so that each run is allowed.
	}
	record.say("requests with the bad part that reached runners more than %v after the fifth crash: %d, allowed: %d", contactTime, late, maxPartRequests)
	return late <= maxPartRequests, nil
}

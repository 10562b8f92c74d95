//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

const (
	dossierPath = "/mira417/3a"
	// dossierPart is the first part of all prompts of the dossier route, and checklistPart that of the other route.
	dossierPart   = "5c1e07a2"
	checklistPart = "e4402b7d"
	// otherInterval is the time between two requests on the other route, all along.
	otherInterval = 125 * time.Millisecond
	// baselineInterval and baselineTime are for the sound dossiers before the first bad one.
	baselineInterval = 500 * time.Millisecond
	baselineTime     = 15 * time.Second
	// pauseTime is a pause without sound dossiers, in which the bad ones begin.
	pauseTime = 12 * time.Second
	// afterInterval and afterTime are for the sound dossiers after the pause.
	afterInterval = time.Second
	afterTime     = 35 * time.Second
	// minCounted is the number of sound requests of each kind from which the rule holds.
	minCounted = 20
)

// twoRoutesConfiguration returns a configuration with a second route to the same engines.
func twoRoutesConfiguration(version int) []byte {
	var configuration map[string]any
	if err := json.Unmarshal(engineConfiguration(version), &configuration); err != nil {
		panic(err)
	}
	configuration["Routes"] = append(configuration["Routes"].([]any), map[string]any{
		"Name": "dossier", "Hostname": host, "Prefix": "/mira417/", "RouteType": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 800, "Priority": 1,
		"Service": "atelier-llm", "Attempts": 1, "Public": false, "SessionAffinity": true, "StreamResume": false, "GapAimMs": 250,
	})
	value, _ := json.Marshal(configuration)
	return value
}

// soundDossier is a sound request on the route of the bad ones.
type soundDossier struct {
	sentAt time.Time
	id     string
	status int
}

// dossiers are what clients sent on the route of the bad requests, and what runners began.
type dossiers struct {
	mutex   sync.Mutex
	sound   []soundDossier
	begun   map[string]bool
	crashes []time.Time
	lastBad time.Time
}

// share returns how many of the sound requests sent in a span were counted, and the part of them that a runner began.
func (dossiers *dossiers) share(from, to time.Time) (int, float64) {
	count, begun := 0, 0
	for _, request := range dossiers.sound {
		if request.sentAt.Before(from) || !request.sentAt.Before(to) {
			continue
		}
		count++
		if dossiers.begun[request.id] {
			begun++
		}
	}
	return count, float64(begun) / float64(max(1, count))
}

// soundNeighbours sends requests with a part that crashes runners in a pause between sound ones of the same route, whose first part they
// share, and then sound ones again. Another route is in use all along.
func soundNeighbours(setup setup) (bool, error) {
	record := setup.record
	store, cloud := platform.NewStore(), platform.NewCloud()
	defer store.Close()
	defer cloud.Close()
	store.Put("op/config", twoRoutesConfiguration(7))
	seen := &dossiers{begun: map[string]bool{}}
	zones := []string{"quimper", "vannes", "morlaix"}
	for i := range 12 {
		runner := &runner{record: record, store: store, service: "atelier-llm", zone: fmt.Sprint(zones[i%3], "-", i/3), address: "127.0.0.1:0", away: 3 * time.Second, slots: 64, work: 20 * time.Millisecond, events: 8}
		runner.crashesOnPart = func(prefix string) bool {
			if !strings.Contains(prefix, badPart) {
				return false
			}
			seen.mutex.Lock()
			defer seen.mutex.Unlock()
			seen.crashes = append(seen.crashes, time.Now())
			return setup.trouble
		}
		runner.onRun = func(run run) {
			seen.mutex.Lock()
			defer seen.mutex.Unlock()
			seen.begun[run.id] = true
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
	sender := &prefixSender{setup: setup, fleet: fleet}
	stopOther := sender.every(otherInterval, checklistPath, checklistPart, func(i int) string { return fmt.Sprintf("91bd3f%02x", i%64) }, nil)
	sendSound := func(interval, length time.Duration) {
		stop := sender.every(interval, dossierPath, dossierPart, func(i int) string { return fmt.Sprintf("77aa%04x", i) }, func(at time.Time, got answer) {
			seen.mutex.Lock()
			defer seen.mutex.Unlock()
			seen.sound = append(seen.sound, soundDossier{at, got.id, got.status})
		})
		time.Sleep(length)
		stop()
	}
	baselineFrom := time.Now()
	sendSound(baselineInterval, baselineTime)
	baselineTo := time.Now()
	stopBad := sender.every(time.Second, dossierPath, dossierPart, func(int) string { return badPart }, func(at time.Time, _ answer) {
		seen.mutex.Lock()
		defer seen.mutex.Unlock()
		seen.lastBad = at
	})
	time.Sleep(pauseTime)
	sendSound(afterInterval, afterTime)
	stopBad()
	stopOther()
	return seen.judge(setup, baselineFrom, baselineTo)
}

// judge checks the rule.
func (dossiers *dossiers) judge(setup setup, baselineFrom, baselineTo time.Time) (bool, error) {
	dossiers.mutex.Lock()
	defer dossiers.mutex.Unlock()
	record, statuses := setup.record, map[int]int{}
	for _, request := range dossiers.sound {
		if request.sentAt.After(baselineTo) {
			statuses[request.status]++
		}
	}
	record.say("runs with the bad part: %d; answers to the sound requests after the pause by status: %v", len(dossiers.crashes), statuses)
	if len(dossiers.crashes) == 0 {
		return false, fmt.Errorf("no request with the bad part ran")
	}
	fifth := dossiers.crashes[min(len(dossiers.crashes), 5)-1]
	before, shareBefore := dossiers.share(baselineFrom, baselineTo)
	after, shareAfter := dossiers.share(fifth.Add(2*contactTime), dossiers.lastBad)
	record.say("sound requests of the route that began at the first attempt: before %.2f of %d, from %v after the fifth crash on %.2f of %d",
		shareBefore, before, 2*contactTime, shareAfter, after)
	if before < minCounted || after < minCounted {
		return false, fmt.Errorf("fewer than %d requests to count", minCounted)
	}
	return shareAfter >= shareBefore/2, nil
}

// prefixSender sends requests with two shared parts and one of their own at all entries in turn.
type prefixSender struct {
	setup setup
	fleet *fleet
}

// every sends a request each interval until the returned function is called, which waits for the answers.
func (sender *prefixSender) every(interval time.Duration, path, first string, second func(i int) string, seen func(at time.Time, got answer)) (stop func()) {
	var clients sync.WaitGroup
	stopped := make(chan struct{})
	clients.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-ticker.C:
			}
			clients.Go(func() {
				own, at := rand.Uint32(), time.Now()
				got := send(sender.setup.record, sender.fleet.nodes[i%len(sender.fleet.nodes)].front, call{
					method: "POST", host: host, path: path, body: fmt.Sprintf("prompt %08x", own), key: deskKey, deadline: 5 * time.Second,
					header: map[string]string{
						"X-Rosemaryspar-Model": "m", "X-Rosemaryspar-Token-Usage": "543,90",
						"X-Rosemaryspar-Prompt-Prefix": fmt.Sprintf("%s:103,%s:69,%08x:371", first, second(i), own),
					},
				})
				if seen != nil {
					seen(at, got)
				}
			})
		}
	})
	return func() {
		close(stopped)
		clients.Wait()
	}
}

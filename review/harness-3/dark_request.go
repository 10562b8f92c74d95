//go:build review3

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

const (
	darkBody = "the prompt that crashes each engine which begins to run it"
	// darkTime is how long a runner is dark after a crash, as in the site's list of troubles.
	darkTime = 4500 * time.Millisecond
	// darkCaseTime and darkInterval are how long and how often the bad request comes.
	darkCaseTime = 45 * time.Second
	darkInterval = 3 * time.Second
	// abandonTime is the gap after which a client abandons a stream, also before its first event.
	abandonTime = 2 * time.Second
	// streamDeadline is the deadline that the clients of the route state.
	streamDeadline = "15000"
)

// darkRequest sends one request again and again that crashes each engine which begins to run it, at all entries in turn. An engine that
// crashes goes dark.
func darkRequest(setup setup) (bool, error) {
	record := setup.record
	store, cloud := platform.NewStore(), platform.NewCloud()
	defer store.Close()
	defer cloud.Close()
	store.Put("op/config", engineConfiguration(7))
	var mutex sync.Mutex
	var badRuns []time.Time
	zones := []string{"quimper", "vannes", "morlaix"}
	for i := range 12 {
		runner := &runner{
			record: record, store: store, service: "atelier-llm", zone: fmt.Sprint(zones[i%3], "-", i/3), address: "127.0.0.1:0", slots: 64,
			work: 20 * time.Millisecond, events: 8, away: darkTime, dark: true,
		}
		runner.crashes = func(body string) bool { return setup.trouble && body == darkBody }
		runner.onRun = func(run run) {
			if run.body == darkBody {
				mutex.Lock()
				defer mutex.Unlock()
				badRuns = append(badRuns, run.at)
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
	request := func(body, session, own string) call {
		return call{
			method: "POST", host: host, path: checklistPath, body: body, key: deskKey, deadline: abandonTime,
			header: map[string]string{
				"X-Rosemaryspar-Model": "m", "X-Rosemaryspar-Token-Usage": "543,90", "X-Rosemaryspar-Deadline-Ms": streamDeadline,
				"X-Rosemaryspar-Prompt-Prefix": fmt.Sprintf("%s:103,%s:69,%s:371", sharedPart, session, own),
			},
		}
	}
	var sound, served atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { // the sound requests, which crash nothing
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			clients.Go(func() {
				sound.Add(1)
				call := request(fmt.Sprintf("prompt %d", i), fmt.Sprintf("91bd3f%02x", i%64), fmt.Sprintf("77aa%04x", i))
				if got := send(record, fleet.nodes[i%len(fleet.nodes)].front, call); got.status == 200 && got.err == nil {
					served.Add(1)
				}
			})
		}
	})
	ticker := time.NewTicker(darkInterval)
	defer ticker.Stop()
	statuses := map[int]int{}
	for i, begin := 0, time.Now(); time.Since(begin) < darkCaseTime; i++ {
		statuses[send(record, fleet.nodes[i%len(fleet.nodes)].front, request(darkBody, "91bd3f00", "0dd0f00d")).status]++
		<-ticker.C
	}
	close(stop)
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	for i, at := range badRuns {
		isLate := i >= 3 && at.Sub(badRuns[2]) > contactTime
		if isLate {
			late++
		}
		record.say("run %d of the bad request at %.3f s, counted: %v", i+1, at.Sub(record.startedAt).Seconds(), isLate)
	}
	record.say("sound requests: %d, served: %d; answers to the bad one by status (0: given up): %v", sound.Load(), served.Load(), statuses)
	if served.Load() < sound.Load()/2 {
		return false, fmt.Errorf("only %d of %d sound requests were served", served.Load(), sound.Load())
	}
	if !setup.trouble {
		return true, nil // The request crashes nothing, so that each of its runs is allowed.
	}
	record.say("runs of the bad request more than %v after the third crash: %d, allowed: %d", contactTime, late, maxRetries)
	return late <= maxRetries, nil
}

//go:build review

package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["returned-servers"] = func(record *record, trouble bool) bool {
		broken := false
		for _, fleet := range returnedFleets {
			broken = fleet.play(record, trouble) || broken
		}
		return broken
	}
}

const (
	// plainServers are the servers at the start. Of these, three leave, 0.15 of them, as scale_in has it.
	plainServers = 20
	// firstLeaves is the time from the loss of entries to the first removal, and leavePause the time between two.
	firstLeaves = 50 * time.Millisecond
	leavePause  = 50 * time.Millisecond
	// lingerTime is the time after the drain time for which a server that has left goes on to serve.
	lingerTime = 1500 * time.Millisecond
)

// lossyFleet is a fleet that loses entries, for good and without notice, among them the one that reads the list of servers.
// Meanwhile three servers leave whose registrations are removed without a word.
type lossyFleet struct {
	entries int
	bounds  func() map[string]any
	// drainTime and contactTime are DrainMs and ContactMs of the bounds.
	drainTime, contactTime time.Duration
	// lost are the names of the entries that are lost, none for the one that read the list of servers last.
	lost []string
}

var returnedFleets = []lossyFleet{
	{entries: 14, bounds: grownBounds, drainTime: 3 * time.Second, contactTime: 4 * time.Second},
	{
		entries: 9, bounds: smallBounds, drainTime: 2 * time.Second, contactTime: 3 * time.Second,
		lost: []string{"front-petaling-1", "front-cheras-2", "front-cheras-3", "front-shah-alam-2", "front-shah-alam-1"},
	},
}

// play reports whether servers that have left get calls through the other entries later than the drain time after their removal.
func (fleet lossyFleet) play(record *record, trouble bool) bool {
	deployment := newDeployment(record, fleet.entries, smallConfiguration(), fleet.bounds(), "usage_report")
	defer deployment.stop()
	runs := &runs{}
	servers := map[string]*runner{}
	for i := range plainServers {
		runner := newRunner(deployment.store, runs, fmt.Sprintf("i-%02d", i), plainName, zones[i%3])
		servers[runner.id] = runner
	}
	deployment.awaitReady()
	time.Sleep(fleet.contactTime)
	lost := fleet.lost
	if len(lost) == 0 {
		lost = []string{deployment.store.reader()}
	}
	record.add("%d entries; %s reads the list of servers", fleet.entries, deployment.store.reader())
	clients, removals := newClients(), map[string]time.Time{}
	left := make(chan struct{})
	go func() {
		defer close(left)
		time.Sleep(time.Second)
		if trouble {
			for _, name := range lost {
				deployment.entryNamed(name).signal(syscall.SIGKILL)
			}
			record.add("%v are killed and stay away", lost)
		}
		time.Sleep(firstLeaves)
		for _, id := range []string{"i-03", "i-10", "i-17"} {
			servers[id].leave()
			removals[id] = time.Now()
			record.add("%s has left", id)
			time.AfterFunc(fleet.drainTime+lingerTime, servers[id].exit)
			time.Sleep(leavePause)
		}
	}()
	clients.run(150, time.Now().Add(9*time.Second), func(number int) {
		entry := deployment.entries[number%len(deployment.entries)]
		if slices.Contains(lost, entry.name) {
			return
		}
		sent := clients.send(entry, "POST", orderPrefix+"2f", "order", time.Second)
		record.add("%s to %s: status %d, error %v", sent.id, sent.entry, sent.status, sent.err)
	})
	<-left
	late := 0
	for _, arrival := range runs.all() {
		removedAt, hasLeft := removals[arrival.server]
		since := arrival.at.Sub(removedAt)
		if !hasLeft || since <= 0 || !strings.HasPrefix(arrival.path, orderPrefix) {
			continue
		}
		sent := clients.attemptOf(arrival.attempt)
		record.add("%s ran at %s %v after its removal, through %s; its client got status %d", arrival.attempt, arrival.server, since, sent.entry, sent.status)
		if since > fleet.drainTime {
			record.add("DRAIN: %s", arrival.attempt)
			late++
		}
	}
	record.add("%d entries: %d orders ran, %d of them later than %v after the removal of their server", fleet.entries, len(runs.all()), late, fleet.drainTime)
	if len(runs.all()) < 300 {
		deployment.stop()
		cannotRun("too few orders ran")
	}
	return late > 0
}

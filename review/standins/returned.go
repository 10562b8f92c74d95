//go:build review

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["returned-servers"] = returnedServers }

// The bounds of the grown sites, and the sizes of the case.
const (
	grownDrainTime   = 3 * time.Second
	grownContactTime = 4 * time.Second
	returnedEntries  = 14
	// plainServers are the servers at the start. Of these, three leave, 0.15 of them, as scale_in has it.
	plainServers = 20
	// firstLeaves is the time from the loss of the reader to the first removal, and leavePause the time between two.
	firstLeaves = 50 * time.Millisecond
	leavePause  = 50 * time.Millisecond
	// lingerTime is the time after grownDrainTime for which a server that has left goes on to serve.
	lingerTime = 1500 * time.Millisecond
)

// returnedServers loses the entry that reads the list of servers, for good and without notice. Meanwhile three servers leave
// whose registrations are removed without a word. It checks that they get no calls through the other entries later than
// grownDrainTime after their removal.
func returnedServers(record *record, trouble bool) bool {
	deployment := newDeployment(record, returnedEntries, smallConfiguration(), grownBounds(), "usage_report")
	defer deployment.stop()
	runs := &runs{}
	servers := map[string]*runner{}
	for i := range plainServers {
		runner := newRunner(deployment.store, runs, fmt.Sprintf("i-%02d", i), plainName, zones[i%3])
		servers[runner.id] = runner
	}
	deployment.awaitReady()
	time.Sleep(grownContactTime)
	reader := deployment.entryNamed(deployment.store.reader())
	record.add("%s reads the list of servers", reader.name)
	clients, removals := newClients(), map[string]time.Time{}
	left := make(chan struct{})
	go func() {
		defer close(left)
		time.Sleep(time.Second)
		if trouble {
			reader.signal(syscall.SIGKILL)
			record.add("%s is killed and stays away", reader.name)
		}
		time.Sleep(firstLeaves)
		for _, id := range []string{"i-03", "i-10", "i-17"} {
			servers[id].leave()
			removals[id] = time.Now()
			record.add("%s has left", id)
			time.AfterFunc(grownDrainTime+lingerTime, servers[id].exit)
			time.Sleep(leavePause)
		}
	}()
	clients.run(150, time.Now().Add(9*time.Second), func(number int) {
		entry := deployment.entries[number%len(deployment.entries)]
		if entry == reader {
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
		if since > grownDrainTime {
			record.add("DRAIN: %s", arrival.attempt)
			late++
		}
	}
	record.add("%d orders ran, %d of them later than %v after the removal of their server", len(runs.all()), late, grownDrainTime)
	if len(runs.all()) < 500 {
		deployment.stop()
		cannotRun("too few orders ran")
	}
	return late > 0
}

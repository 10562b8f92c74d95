//go:build review

package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["hangup-while-stopping"] = hangupWhileStopping }

// The times of the two signals and of the streams. A stream lasts 2 s, so that those in progress at the hangup end long before
// the last sixth of the time that an entry has to stop.
const (
	stopAfter   = 4 * time.Second
	hangupAfter = time.Second
	longPause   = 250 * time.Millisecond
)

// hangupWhileStopping stops one entry as the platform does. In the disruption, the settings of all entries name another seed a
// second later, with the signal for that. It checks that each request that reached a server through the stopping entry gets a
// complete answer.
func hangupWhileStopping(record *record, trouble bool) bool {
	deployment := newDeployment(record, 9, smallConfiguration(), smallBounds(), "usage_report")
	defer deployment.stop()
	runs := &runs{}
	for i := range 15 {
		service := engineName
		if i >= 12 {
			service = plainName
		}
		runner := newRunner(deployment.store, runs, fmt.Sprintf("i-%02d", i), service, zones[i%3])
		runner.pause = longPause
	}
	deployment.awaitReady()
	time.Sleep(4 * time.Second)
	stopping, clients := deployment.entries[3], newClients()
	var unready atomic.Bool
	go func() {
		time.Sleep(stopAfter)
		record.add("%s gets SIGTERM", stopping.name)
		stopping.signal(syscall.SIGTERM)
		// The platform's balancer sends no new connections after two readiness checks, one a second.
		time.AfterFunc(2*time.Second, func() { unready.Store(true) })
		if trouble {
			time.Sleep(hangupAfter)
			deployment.replaceSeed(deployment.entries[2], deployment.entries[4])
		}
		<-stopping.ended
		record.add("%s has ended: %v", stopping.name, stopping.process.ProcessState)
	}()
	clients.run(60, time.Now().Add(stopAfter+4*time.Second), func(number int) {
		entry := deployment.entries[number%len(deployment.entries)]
		if entry == stopping && unready.Load() {
			return
		}
		path, deadline := draftPrefix, 4*time.Second
		if number/len(deployment.entries)%2 == 0 {
			path, deadline = orderPrefix, time.Second
		}
		sent := clients.send(entry, "POST", path+"2f", "body", deadline)
		record.add("%s %s to %s: status %d, %d bytes, complete %v, error %v", sent.id, sent.path, sent.entry, sent.status, len(sent.body), sent.complete, sent.err)
	})
	<-stopping.ended
	lost := 0
	for _, arrival := range runs.all() {
		sent := clients.attemptOf(arrival.attempt)
		record.add("%s ran at %s", arrival.attempt, arrival.server)
		if sent.entry == stopping.name && !sent.complete {
			record.add("LOST: %s ran and its client got no complete answer: status %d, %d bytes, %v", sent.id, sent.status, len(sent.body), sent.err)
			lost++
		}
	}
	record.add("%d requests ran, %d of them through %s without a complete answer", len(runs.all()), lost, stopping.name)
	if len(runs.all()) < 200 {
		deployment.stop()
		cannotRun("too few requests ran")
	}
	return lost > 0
}

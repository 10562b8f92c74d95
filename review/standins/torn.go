//go:build review

package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["torn-stream"] = tornStream }

// The disruption of [tornStream], as the day trouble-2 of the small sites has it: garble, unframed, half of the servers,
// 0.05 of their answers, 5 s.
const (
	tornEvery = 20
	tornTime  = 5 * time.Second
)

// tornStream has servers whose streams have no length and end with their connection. In the disruption, one in tornEvery
// answers of half of the servers breaks off inside an event. It checks that no answer with fewer events looks complete.
func tornStream(record *record, trouble bool) bool {
	deployment := newDeployment(record, 9, smallConfiguration(), smallBounds(), "usage_report")
	defer deployment.stop()
	runs := &runs{}
	var torn atomic.Bool
	var answers, tears atomic.Int64
	for i := range 12 {
		runner := newRunner(deployment.store, runs, fmt.Sprintf("i-%d", i), engineName, zones[i%3])
		runner.unframed = true
		if i%2 == 0 {
			runner.tears = func() bool {
				if !torn.Load() || answers.Add(1)%tornEvery != 0 {
					return false
				}
				tears.Add(1)
				return true
			}
		}
	}
	deployment.awaitReady()
	time.Sleep(4 * time.Second)
	clients := newClients()
	torn.Store(trouble)
	start := time.Now()
	clients.run(60, start.Add(tornTime), func(number int) {
		entry := deployment.entries[number%len(deployment.entries)]
		sent := clients.send(entry, "POST", draftPrefix+"2f", "draft", 4*time.Second)
		events := 0
		for events < streamEvents && len(sent.body) >= len(eventText(sent.id, events+1)) && sent.body[:len(eventText(sent.id, events+1))] == eventText(sent.id, events+1) {
			sent.body = sent.body[len(eventText(sent.id, events+1)):]
			events++
		}
		record.add("%s to %s: status %d, %d events, complete %v, rest %q, error %v", sent.id, sent.entry, sent.status, events, sent.complete, sent.body, sent.err)
		if sent.status == 200 && sent.complete && events < streamEvents {
			record.add("ORDER: the stream of %s ends as complete after %d of %d events", sent.id, events, streamEvents)
			record.broken.Store(true)
		}
		if sent.status == 200 {
			record.served.Add(1)
		}
	})
	for _, arrival := range runs.all() {
		record.add("%s ran at %s", arrival.attempt, arrival.server)
	}
	record.add("%d served, %d answers broken off inside an event", record.served.Load(), tears.Load())
	if record.served.Load() < 100 || trouble && tears.Load() == 0 {
		deployment.stop()
		cannotRun("too few answers")
	}
	return record.broken.Load()
}

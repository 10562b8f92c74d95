//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["crlf-stream"] = crlfStream }

// crlfStream has servers that end the lines of their events with CR and LF, as text/event-stream allows. It checks that each
// client with a complete success has the whole body of its server. Without trouble, the lines end with LF.
func crlfStream(record *record, trouble bool) bool {
	deployment := newDeployment(record, 9, smallConfiguration(), smallBounds(), "usage_report")
	defer deployment.stop()
	runs := &runs{}
	for i := range 12 {
		runner := newRunner(deployment.store, runs, fmt.Sprintf("i-%02d", i), engineName, zones[i%3])
		runner.crlf = trouble
	}
	deployment.awaitReady()
	time.Sleep(4 * time.Second)
	clients := newClients()
	clients.run(60, time.Now().Add(5*time.Second), func(number int) {
		entry := deployment.entries[number%len(deployment.entries)]
		sent := clients.send(entry, "POST", draftPrefix+"2f", "draft", 4*time.Second)
		var whole strings.Builder
		for event := range streamEvents {
			whole.WriteString(lines(eventText(sent.id, event+1), trouble))
		}
		record.add("%s to %s: status %d, %d of %d bytes, complete %v, error %v", sent.id, sent.entry, sent.status, len(sent.body), whole.Len(), sent.complete, sent.err)
		if sent.status == 200 {
			record.served.Add(1)
		}
		if sent.status == 200 && sent.complete && sent.body != whole.String() {
			record.add("MIXED: the answer of %s looks complete and has %d of %d bytes", sent.id, len(sent.body), whole.Len())
			record.broken.Store(true)
		}
	})
	for _, arrival := range runs.all() {
		record.add("%s ran at %s", arrival.attempt, arrival.server)
	}
	record.add("%d served", record.served.Load())
	if record.served.Load() < 100 {
		deployment.stop()
		cannotRun("too few answers")
	}
	return record.broken.Load()
}

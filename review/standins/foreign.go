//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry has another writer write one incomplete entry under the id of an engine: it has a service, an address, slots and a
// state, and no zone, version, sequence or start. It does so just after a heartbeat of the engine, which writes its own entry again
// at the next one. The case checks that no server of a service runs a request of a route that does not lead to that service.
func foreignEntry(record *record, trouble bool) bool {
	deployment := newDeployment(record, 9, smallConfiguration(), smallBounds(), "usage_report")
	defer deployment.stop()
	runs := &runs{}
	servers := map[string]*runner{}
	for i := range 15 {
		service := engineName
		if i >= 12 {
			service = plainName
		}
		runner := newRunner(deployment.store, runs, fmt.Sprintf("i-%02d", i), service, zones[i%3])
		servers[runner.id] = runner
	}
	deployment.awaitReady()
	time.Sleep(4 * time.Second)
	clients := newClients()
	go func() {
		time.Sleep(2 * time.Second)
		if !trouble {
			return
		}
		content, err := json.Marshal(map[string]any{"Service": plainName, "Address": servers["i-04"].address, "Slots": 64, "State": "ready"})
		must(err)
		deployment.store.awaitWrite("servers/i-04")
		deployment.store.put("servers/i-04", content)
		record.add("another writer writes servers/i-04: %s", content)
	}()
	clients.run(60, time.Now().Add(6*time.Second), func(number int) {
		entry := deployment.entries[number%len(deployment.entries)]
		path := draftPrefix
		if number%2 == 0 {
			path = orderPrefix
		}
		sent := clients.send(entry, "POST", path+"2f", "body", time.Second)
		record.add("%s %s to %s: status %d, body %q, error %v", sent.id, sent.path, sent.entry, sent.status, sent.body, sent.err)
	})
	wrong := 0
	for _, arrival := range runs.all() {
		service := engineName
		if strings.HasPrefix(arrival.path, orderPrefix) {
			service = plainName
		}
		record.add("%s %s ran at %s of %s", arrival.attempt, arrival.path, arrival.server, servers[arrival.server].service)
		if servers[arrival.server].service != service {
			sent := clients.attemptOf(arrival.attempt)
			record.add("ROUTE: %s of service %s ran the order %s; its client got status %d", arrival.server, servers[arrival.server].service, arrival.attempt, sent.status)
			wrong++
		}
	}
	record.add("%d requests ran, %d of them at a service to which their route does not lead", len(runs.all()), wrong)
	if len(runs.all()) < 200 {
		deployment.stop()
		cannotRun("too few requests ran")
	}
	return wrong > 0
}

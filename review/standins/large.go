//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["large-bodies"] = largeBodies }

// The load of one entry. Clients send drafts in chunks at a usual rate and, during the burst, at 1.7 times that.
const (
	usualPerSecond = 14
	burstPerSecond = usualPerSecond * 17 / 10
	beforeBurst    = 5 * time.Second
	burstTime      = 3 * time.Second
	afterBurst     = 2 * time.Second
	// largeBodyBytes is MaxBodyBytes of the configuration, and chunkBytes the size of each chunk.
	largeBodyBytes = 4 << 20
	chunkBytes     = 64 << 10
	// prefillTime is the time before the first event of a draft. Its stream then ends within 3 s of its start.
	prefillTime   = time.Second
	largePause    = 240 * time.Millisecond
	draftDeadline = 4 * time.Second
	// memoryLimitKB is MemoryMb of the settings in the unit of /proc, taken as 2^20 bytes each.
	memoryLimitKB = 284 << 10
	// maxUnanswered is the number of requests above which the rule is broken.
	maxUnanswered = 3
)

// largeBodies sends drafts with bodies of the largest size in chunks to one entry on kept connections. In the disruption, more
// clients come for 3 s. The platform kills the entry when it has more memory than its settings say. It checks that the entry
// answers each request that it has passed on to a server.
func largeBodies(record *record, trouble bool) bool {
	deployment := newDeployment(record, 9, smallConfiguration(), smallBounds(), "usage_report")
	defer deployment.stop()
	runs := &runs{}
	for i := range 6 {
		runner := newRunner(deployment.store, runs, fmt.Sprintf("i-%02d", i), engineName, zones[i%3])
		runner.reads, runner.prefill, runner.pause = true, prefillTime, largePause
	}
	deployment.awaitReady()
	time.Sleep(4 * time.Second)
	entry := deployment.entries[4]
	watch := &memoryWatch{record: record, entry: entry}
	go watch.run()
	kept := &keptConnections{entry: entry, sent: map[string]*keptAttempt{}}
	var group sync.WaitGroup
	send := func(perSecond int, span time.Duration) {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for end := time.Now().Add(span); time.Now().Before(end); <-ticker.C {
			group.Go(func() { kept.send(record) })
		}
	}
	send(usualPerSecond, beforeBurst)
	if trouble {
		record.add("a burst begins")
		send(burstPerSecond, burstTime)
		record.add("the burst ends")
	} else {
		send(usualPerSecond, burstTime)
	}
	send(usualPerSecond, afterBurst)
	group.Wait()
	unanswered, cut := kept.lost(record, runs)
	record.add("%d requests ran, %d of those on kept connections have no answer and %d others an answer that was cut; %d MB at most", len(runs.all()), unanswered, cut, watch.peakKB.Load()>>10)
	if len(runs.all()) < 60 {
		deployment.stop()
		cannotRun("too few requests ran")
	}
	return unanswered > maxUnanswered
}

// memoryWatch kills an entry as the platform does when it has more memory than its settings say.
type memoryWatch struct {
	record *record
	entry  *entry
	peakKB atomic.Int64
}

func (watch *memoryWatch) run() {
	for {
		usedKB := residentKB(watch.entry.process.Process.Pid)
		watch.peakKB.Store(max(watch.peakKB.Load(), usedKB))
		if usedKB > memoryLimitKB {
			watch.record.add("%s has %d MB, more than MemoryMb, and is killed", watch.entry.name, usedKB>>10)
			watch.entry.signal(syscall.SIGKILL)
			return
		}
		select {
		case <-watch.entry.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// residentKB returns the resident memory of a process, 0 for none.
func residentKB(pid int) int64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(content), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb
		}
	}
	return 0
}

// keptAttempt is one request on a connection, and what came back.
type keptAttempt struct {
	// kept reports whether the connection had carried an earlier request with a complete answer.
	kept     bool
	status   int
	complete bool
	err      error
}

// keptConnections are the connections that clients keep open to an entry.
type keptConnections struct {
	entry *entry
	mutex sync.Mutex
	idle  []*keptConnection
	sent  map[string]*keptAttempt
}

type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

// take returns an idle connection, or a new one; kept reports which.
func (connections *keptConnections) take() (connection *keptConnection, kept bool, err error) {
	connections.mutex.Lock()
	if last := len(connections.idle) - 1; last >= 0 {
		connection, connections.idle = connections.idle[last], connections.idle[:last]
	}
	connections.mutex.Unlock()
	if connection != nil {
		return connection, true, nil
	}
	dialled, err := net.DialTimeout("tcp", connections.entry.front, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &keptConnection{Conn: dialled, reader: bufio.NewReader(dialled)}, false, nil
}

// send sends one draft and waits for its answer.
func (connections *keptConnections) send(record *record) {
	id, attempt := fmt.Sprintf("%016x", rand.Uint64()), &keptAttempt{}
	connection, kept, err := connections.take()
	if err == nil {
		attempt.kept = kept
		_ = connection.SetDeadline(time.Now().Add(draftDeadline))
		var response *http.Response
		if response, err = connection.exchange(id); err == nil {
			attempt.status = response.StatusCode
			_, err = io.Copy(io.Discard, response.Body)
			attempt.complete = err == nil
		}
		if err != nil || response.Close {
			_ = connection.Close()
		}
	}
	attempt.err = err
	record.add("%s on a kept connection %v: status %d, complete %v, error %v", id, attempt.kept, attempt.status, attempt.complete, err)
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.sent[id] = attempt
	if attempt.complete && connection != nil {
		connections.idle = append(connections.idle, connection)
	}
}

// exchange sends a draft with a body in chunks and returns the head of the answer.
func (connection *keptConnection) exchange(id string) (*http.Response, error) {
	writer := bufio.NewWriter(connection)
	fmt.Fprintf(writer, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Rosemaryspar-Attempt-Id: %s\r\nX-Rosemaryspar-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sTransfer-Encoding: chunked\r\n\r\n",
		draftPrefix, host, id, draftDeadline.Milliseconds(), key, promptFields(fmt.Sprintf("5c1e%02x:568", rand.IntN(256)), id))
	chunk := bytes.Repeat([]byte(id), chunkBytes/len(id))
	for range largeBodyBytes / chunkBytes {
		fmt.Fprintf(writer, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	fmt.Fprint(writer, "0\r\n\r\n")
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	return http.ReadResponse(connection.reader, &http.Request{Method: http.MethodPost})
}

// lost counts the requests that a server ran: those on kept connections without an answer, and all whose answer was cut.
func (connections *keptConnections) lost(record *record, runs *runs) (unanswered, cut int) {
	counted := map[string]bool{}
	for _, arrival := range runs.all() {
		attempt := connections.sent[arrival.attempt]
		if attempt.complete || counted[arrival.attempt] {
			continue
		}
		counted[arrival.attempt] = true
		switch {
		case attempt.status != 0:
			cut++
		case attempt.kept:
			unanswered++
			record.add("LOST: %s ran at %s, and its kept connection ended without an answer: %v", arrival.attempt, arrival.server, attempt.err)
		}
	}
	return unanswered, cut
}

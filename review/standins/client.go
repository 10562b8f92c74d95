//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client and what came back.
type attempt struct {
	id, path, entry string
	sentAt          time.Time
	status          int
	body            string
	// complete reports whether the answer came to its end by its own framing.
	complete bool
	err      error
}

// clients send requests and keep what came back.
type clients struct {
	mutex    sync.Mutex
	attempts map[string]*attempt
	group    sync.WaitGroup
}

func newClients() *clients { return &clients{attempts: map[string]*attempt{}} }

// send sends a request on a new connection to an entry and waits for the answer.
func (clients *clients) send(entry *entry, method, path, body string, deadline time.Duration) *attempt {
	parts := ""
	if strings.HasPrefix(path, draftPrefix) {
		parts = fmt.Sprintf("5c1e%02x:568", rand.IntN(256))
	}
	return clients.sendRequest(entry, method, path, body, parts, deadline)
}

// sendPrompt sends a request with the given shared parts of its prompt and a body of its own.
func (clients *clients) sendPrompt(entry *entry, path, parts string, deadline time.Duration) *attempt {
	return clients.sendRequest(entry, "POST", path, fmt.Sprintf("draft %016x", rand.Uint64()), parts, deadline)
}

func (clients *clients) sendRequest(entry *entry, method, path, body, parts string, deadline time.Duration) *attempt {
	sent := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, entry: entry.name, sentAt: time.Now()}
	clients.mutex.Lock()
	clients.attempts[sent.id] = sent
	clients.mutex.Unlock()
	conn, err := net.DialTimeout("tcp", entry.front, time.Second)
	if err != nil {
		sent.err = err
		return sent
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Rosemaryspar-Attempt-Id: %s\r\nX-Rosemaryspar-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, host, sent.id, deadline.Milliseconds(), key, promptFields(parts, sent.id), len(body), body)
	if err != nil {
		sent.err = err
		return sent
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		sent.err = err
		return sent
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	sent.status, sent.body, sent.err, sent.complete = response.StatusCode, string(content), err, err == nil && framed
	return sent
}

// promptFields returns the header fields of a prompt with shared parts, which its own part follows, empty for no prompt.
func promptFields(parts, id string) string {
	if parts == "" {
		return ""
	}
	return fmt.Sprintf("X-Rosemaryspar-Model: m\r\nX-Rosemaryspar-Token-Usage: 2368,24\r\nX-Rosemaryspar-Prompt-Prefix: %s,%s:1800\r\n", parts, id[:8])
}

// run sends requests at a rate to entries in turn until a time, and returns when all are answered.
func (clients *clients) run(perSecond int, until time.Time, send func(number int)) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for number := 0; time.Now().Before(until); number++ {
		clients.group.Go(func() { send(number) })
		<-ticker.C
	}
	clients.group.Wait()
}

// attemptOf returns the attempt with an id, nil if no client sent it.
func (clients *clients) attemptOf(id string) *attempt {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	return clients.attempts[id]
}

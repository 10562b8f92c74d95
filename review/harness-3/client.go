//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one client attempt.
type call struct {
	method, host, path, body, key string
	deadline                      time.Duration
	header                        map[string]string
}

// answer is what a client got, with status 0 for a connection that ended without an answer.
type answer struct {
	id     string
	status int
	body   string
	err    error
	after  time.Duration
}

var attempts atomic.Int64

// newAttempt returns a new attempt id.
func newAttempt() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))
}

// send sends a call to an entry on a new connection and waits for its answer.
func send(record *record, front string, call call) answer {
	id := newAttempt()
	ctx, cancel := context.WithTimeout(context.Background(), call.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+front+call.path, strings.NewReader(call.body))
	if err != nil {
		return answer{id: id, err: err}
	}
	request.Host = call.host
	request.Close = true
	request.Header.Set("X-Rosemaryspar-Attempt-Id", id)
	request.Header.Set("X-Rosemaryspar-Deadline-Ms", fmt.Sprint(call.deadline.Milliseconds()))
	if call.key != "" {
		request.Header.Set("Authorization", "Bearer "+call.key)
	}
	for name, value := range call.header {
		request.Header.Set(name, value)
	}
	record.add("client sends %s %s %s %q to %s", id, call.method, call.path, short(call.body), front)
	sentAt := time.Now()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	got := answer{id: id, err: err, after: time.Since(sentAt)}
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		got.status, got.body, got.err, got.after = response.StatusCode, string(body), readErr, time.Since(sentAt)
	}
	record.add("client gets %s %d after %.3f s: %q %v", id, got.status, got.after.Seconds(), short(got.body), got.err)
	return got
}

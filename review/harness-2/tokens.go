package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	tokenRate  = 350_000
	tokenBurst = 350_000
	// hugeTokens is far beyond what the account may use in a window, and beyond what entries take from each other.
	hugeTokens = "4000000000000000000,20"
)

// tokenCount: a client states a huge number of tokens. Its request may not run, since no window of the account's limit has room for it.
func tokenCount(r *record, trouble bool) (outcome, string) {
	f, err := newFleet(r, 3)
	if err != nil {
		return failed, err.Error()
	}
	defer f.stop()
	ran := make(chan string, 10)
	x, err := newRunner(f, "i-x", "orders", 64, func(writer http.ResponseWriter, request *http.Request, _ []byte) {
		r.add("runner runs %s", request.Header.Get("X-Rosemaryspar-Attempt-Id"))
		ran <- request.Header.Get("X-Rosemaryspar-Token-Usage")
		io.WriteString(writer, "done")
	})
	if err != nil {
		return failed, err.Error()
	}
	route := map[string]any{"Name": "book-order", "Hostname": "a.example", "Prefix": "/order/", "RouteType": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 2, "Service": "orders", "Attempts": 1}
	service := map[string]any{"Name": "orders", "HealthPath": "/healthz", "MaxConnections": 110}
	tenant := map[string]any{"Name": "desk", "ApiKeys": []string{"key-desk"}, "Unit": "tokens", "PlainTokens": 200, "RatePerS": tokenRate, "Burst": tokenBurst}
	f.putConfiguration([]any{route}, []any{service}, []any{tenant})
	x.register("ready")
	go x.heartbeat()
	if err := f.startEntries(); err != nil {
		return failed, err.Error()
	}
	time.Sleep(3500 * time.Millisecond)
	tokens := "100,20"
	if trouble {
		tokens = hugeTokens
	}
	c := &keptClient{}
	if err := c.dial(f.entries[0].front); err != nil {
		return failed, err.Error()
	}
	defer c.conn.Close()
	fmt.Fprintf(c.conn, "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nX-Rosemaryspar-Attempt-Id: t1\r\nX-Rosemaryspar-Deadline-Ms: 3000\r\nX-Rosemaryspar-Token-Usage: %s\r\nAuthorization: Bearer key-desk\r\nContent-Length: 5\r\n\r\norder", tokens)
	status, _ := c.receive()
	r.add("client gets %d for t1 with %s tokens", status, tokens)
	time.Sleep(5 * time.Second)
	log, _ := os.ReadFile(filepath.Join(f.folder, f.entries[0].name+".log"))
	r.add("%s logs %d changes of its aggregators and %d messages that its peers reject", f.entries[0].name,
		strings.Count(string(log), "aggregators changed"), strings.Count(string(log), "an amount is"))
	if len(ran) > 0 && <-ran == hugeTokens {
		return broken, "QUOTA: one request of " + hugeTokens + " tokens runs"
	}
	return held, "no request beyond the limit runs"
}

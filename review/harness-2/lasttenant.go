package main

import (
	"fmt"
	"net/http"
	"time"
)

// lastTenant: an operator removes the only tenant. No request with its key may run later than RevokeMs after the acknowledgement. Without the
// trouble, the tenant stays and loses its only key.
func lastTenant(r *record, trouble bool) (outcome, string) {
	f, err := newFleet(r, 2)
	if err != nil {
		return failed, err.Error()
	}
	defer f.stop()
	ran := make(chan string, 100)
	shop, err := newRunner(f, "i-shop", "orders", 64, func(writer http.ResponseWriter, request *http.Request, _ []byte) {
		id := request.Header.Get("X-Rosemaryspar-Attempt-Id")
		r.add("runner runs %s of tenant %q", id, request.Header.Get("X-Rosemaryspar-Tenant"))
		ran <- id
		fmt.Fprint(writer, "done")
	})
	if err != nil {
		return failed, err.Error()
	}
	route := map[string]any{"Name": "book-order", "Hostname": "a.example", "Prefix": "/order/", "RouteType": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 2, "Service": "orders", "Attempts": 1, "Public": false}
	service := map[string]any{"Name": "orders", "HealthPath": "/healthz", "MaxConnections": 1000}
	configure := func(tenants []any) time.Time {
		return f.putConfiguration([]any{route}, []any{service}, tenants)
	}
	configure([]any{map[string]any{"Name": "desk", "ApiKeys": []string{"key-desk"}}})
	shop.register("ready")
	go shop.heartbeat()
	if err := f.startEntries(); err != nil {
		return failed, err.Error()
	}
	time.Sleep(3500 * time.Millisecond)
	send := func(id string, e *entry) int {
		c := &keptClient{}
		if c.dial(e.front) != nil {
			return 0
		}
		defer c.conn.Close()
		r.add("client sends %s with key-desk to %s", id, e.name)
		if c.send(id, "key-desk") != nil {
			return 0
		}
		status, _ := c.receive()
		r.add("client gets %d for %s", status, id)
		return status
	}
	for i, e := range f.entries {
		if status := send(fmt.Sprintf("before-%d", i), e); status != http.StatusOK {
			return failed, fmt.Sprintf("status %d before the change", status)
		}
		<-ran
	}
	tenants := []any{}
	if !trouble {
		tenants = []any{map[string]any{"Name": "desk", "ApiKeys": []string{}}}
	}
	acknowledged := configure(tenants)
	r.add("the store acknowledges the configuration without the key; tenants: %v", tenants)
	time.Sleep(time.Until(acknowledged.Add(revokeTime + 500*time.Millisecond)))
	for i, e := range f.entries {
		send(fmt.Sprintf("after-%d", i), e)
	}
	time.Sleep(300 * time.Millisecond)
	if count := len(ran); count > 0 {
		return broken, fmt.Sprintf("CONFIG: %d of %d requests ran that were sent later than RevokeMs after their key was taken away", count, len(f.entries))
	}
	return held, "no request ran that was sent later than RevokeMs after its key was taken away"
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	revokeTime = 5000 * time.Millisecond
	// freezeTime is how long the entry stands still, and learnTime the part of RevokeMs before that: an entry that does not read the store
	// itself has not learned of a change by then.
	freezeTime = 5000 * time.Millisecond
	learnTime  = 8 * time.Millisecond
	// revokeClients is the number of clients with kept connections, and revokeCycles that of the keys that are taken away one after the other.
	revokeClients = 60
	revokeCycles  = 12
)

// keptClient is a client with one kept connection to an entry.
type keptClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (c *keptClient) dial(address string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// send writes a request for an order with a key.
func (c *keptClient) send(id, key string) error {
	_, err := fmt.Fprintf(c.conn, "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nX-Rosemaryspar-Attempt-Id: %s\r\nX-Rosemaryspar-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\norder", id, key)
	return err
}

// receive reads the answer and returns its status.
func (c *keptClient) receive() (int, error) {
	c.conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := response.Body.Read(make([]byte, 4096)); err != nil && err.Error() != "EOF" {
		return response.StatusCode, err
	}
	return response.StatusCode, nil
}

// revokeRace: an entry is frozen, a key is taken away meanwhile, and requests with the key are sent later than RevokeMs after that. None of them may run.
func revokeRace(r *record, trouble bool) (outcome, string) {
	f, err := newFleet(r, 3)
	if err != nil {
		return failed, err.Error()
	}
	defer f.stop()
	var mutex sync.Mutex
	ran := map[string]bool{}
	shop, err := newRunner(f, "i-shop", "orders", 64, func(writer http.ResponseWriter, request *http.Request, _ []byte) {
		mutex.Lock()
		ran[request.Header.Get("X-Rosemaryspar-Attempt-Id")] = true
		mutex.Unlock()
		r.add("runner runs %s of tenant %s", request.Header.Get("X-Rosemaryspar-Attempt-Id"), request.Header.Get("X-Rosemaryspar-Tenant"))
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(writer, "done")
	})
	if err != nil {
		return failed, err.Error()
	}
	route := map[string]any{"Name": "book-order", "Hostname": "a.example", "Prefix": "/order/", "RouteType": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 2, "Service": "orders", "Attempts": 1}
	service := map[string]any{"Name": "orders", "HealthPath": "/healthz", "MaxConnections": 1000}
	configure := func(keys ...string) time.Time {
		return f.putConfiguration([]any{route}, []any{service}, []any{map[string]any{"Name": "desk", "ApiKeys": []string{"key-desk"}}, map[string]any{"Name": "lab", "ApiKeys": keys}})
	}
	configure("key-0")
	shop.register("ready")
	go shop.heartbeat()
	if err := f.startEntries(); err != nil {
		return failed, err.Error()
	}
	time.Sleep(3500 * time.Millisecond)
	total, violations := 0, []string{}
	for cycle := 0; cycle < revokeCycles && total == 0; cycle++ {
		frozen := f.entries[cycle%len(f.entries)]
		key := fmt.Sprintf("key-%d", cycle)
		configure(key)
		time.Sleep(1500 * time.Millisecond)
		clients := make([]*keptClient, revokeClients)
		for i := range clients {
			clients[i] = &keptClient{}
			if err := clients[i].dial(frozen.front); err != nil {
				return failed, err.Error()
			}
		}
		var group sync.WaitGroup
		ok := 0
		for i, c := range clients {
			group.Go(func() {
				if c.send(fmt.Sprintf("w%d-%d", cycle, i), key) == nil {
					if status, err := c.receive(); err == nil && status == 200 {
						mutex.Lock()
						ok++
						mutex.Unlock()
					}
				}
			})
		}
		group.Wait()
		r.add("cycle %d: %d of %d requests with the key are served before it is taken away", cycle, ok, revokeClients)
		acknowledged := configure(fmt.Sprintf("key-%d", cycle+1))
		time.Sleep(time.Until(acknowledged.Add(learnTime)))
		frozenAt := time.Now()
		if trouble {
			_ = frozen.signal(syscall.SIGSTOP)
			r.add("%s freezes, %v after the acknowledgement of the configuration without %s", frozen.name, frozenAt.Sub(acknowledged), key)
		}
		time.Sleep(time.Until(acknowledged.Add(revokeTime + time.Millisecond)))
		sentAt := time.Now()
		for i, c := range clients {
			id := fmt.Sprintf("r%d-%d", cycle, i)
			r.add("client sends %s with %s", id, key)
			if c.send(id, key) != nil {
				r.add("%s could not be sent", id)
			}
		}
		r.add("%d requests with %s are sent, the first %v after the acknowledgement", revokeClients, key, sentAt.Sub(acknowledged))
		if trouble {
			time.Sleep(time.Until(frozenAt.Add(freezeTime)))
			_ = frozen.signal(syscall.SIGCONT)
			r.add("%s wakes after %v", frozen.name, time.Since(frozenAt))
		}
		statuses := map[int]int{}
		for i, c := range clients {
			group.Go(func() {
				status, _ := c.receive()
				r.add("client gets %d for r%d-%d", status, cycle, i)
				mutex.Lock()
				statuses[status]++
				mutex.Unlock()
			})
		}
		group.Wait()
		time.Sleep(300 * time.Millisecond)
		mutex.Lock()
		count := 0
		for i := range clients {
			if id := fmt.Sprintf("r%d-%d", cycle, i); ran[id] {
				count++
				violations = append(violations, id)
			}
		}
		mutex.Unlock()
		total += count
		r.add("answers by status %v; %d of the requests ran", statuses, count)
		for _, c := range clients {
			c.conn.Close()
		}
	}
	if total > 0 {
		return broken, fmt.Sprintf("CONFIG: %d requests ran that were sent later than RevokeMs after the acknowledgement of a configuration without their key: %v", total, violations)
	}
	return held, "no request ran that was sent later than RevokeMs after its key was taken away"
}

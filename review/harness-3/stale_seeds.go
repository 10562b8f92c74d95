//go:build review3

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

const (
	// seedCount is the number of machines whose addresses are the seeds of all settings.
	seedCount = 3
	// staleCrashTime and staleCrashInterval are how long and how often the crashing order comes. The time is shorter than any for which the
	// entries could forget a crash again.
	staleCrashTime     = 34 * time.Second
	staleCrashInterval = time.Second
)

// staleSeeds removes the machines that the seeds of all settings name, and kills and restarts all other processes. Then it sends one order that
// crashes each runner that begins to run it, at the remaining entries in turn. Without the disruption, no machine is removed and no process
// killed; the order crashes runners all the same.
func staleSeeds(setup setup) (bool, error) {
	record := setup.record
	store, cloud := platform.NewStore(), platform.NewCloud()
	defer store.Close()
	defer cloud.Close()
	store.Put("op/config", plainConfiguration(7))
	var mutex sync.Mutex
	var crashRuns []time.Time
	for _, zone := range []string{"quimper", "vannes", "morlaix"} {
		runner := &runner{record: record, store: store, service: "commandes", zone: zone, address: "127.0.0.1:0", away: 3 * time.Second, slots: 6, work: 30 * time.Millisecond}
		runner.crashes = func(body string) bool { return body == crashBody }
		runner.onRun = func(run run) {
			if run.body == crashBody {
				mutex.Lock()
				defer mutex.Unlock()
				crashRuns = append(crashRuns, run.at)
			}
		}
		if err := runner.start(); err != nil {
			return false, err
		}
	}
	fleet, err := newFleet(record, setup.folder, setup.root, 8, store.Address(), cloud.Address(), nil)
	if err != nil {
		return false, err
	}
	defer fleet.killAll()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)
	remaining := fleet.nodes[seedCount:]
	if setup.trouble {
		if err := fleet.loseSeeds(); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * contactTime) // From here on, all remaining entries are in touch.
	var usual, served atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { // the usual orders, which crash nothing
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			clients.Go(func() {
				usual.Add(1)
				order := call{method: "POST", host: host, path: orderPath, body: fmt.Sprintf(`{"order":%d}`, i), key: deskKey, deadline: time.Second}
				if send(record, remaining[i%len(remaining)].front, order).status == 200 {
					served.Add(1)
				}
			})
		}
	})
	ticker := time.NewTicker(staleCrashInterval)
	defer ticker.Stop()
	for i, begin := 0, time.Now(); time.Since(begin) < staleCrashTime; i++ {
		<-ticker.C
		send(record, remaining[i%len(remaining)].front, call{method: "POST", host: host, path: orderPath, body: crashBody, key: deskKey, deadline: time.Second})
	}
	close(stop)
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	for i, at := range crashRuns {
		isLate := i >= 3 && at.Sub(crashRuns[2]) > contactTime
		if isLate {
			late++
		}
		record.say("run %d of the crashing order at %.3f s, counted: %v", i+1, at.Sub(record.startedAt).Seconds(), isLate)
	}
	record.say("usual orders: %d, served: %d", usual.Load(), served.Load())
	record.say("runs of the crashing order more than %v after the third crash: %d, allowed: %d", contactTime, late, maxRetries)
	return late <= maxRetries, nil
}

// loseSeeds ends the entries that are the seeds for good, and kills and restarts the others with the settings that they had.
func (fleet *fleet) loseSeeds() error {
	for i := range fleet.nodes {
		fleet.signal(i, syscall.SIGKILL)
	}
	for _, node := range fleet.nodes {
		<-node.ended
	}
	for i := range fleet.nodes[:seedCount] {
		fleet.record.say("machine %s is removed for good", fleet.nodes[i].name)
	}
	for i := seedCount; i < len(fleet.nodes); i++ {
		if err := fleet.start(i); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, node := range fleet.nodes[seedCount:] {
			if node.isReady() {
				ready++
			}
		}
		if ready == len(fleet.nodes)-seedCount {
			fleet.record.say("%d restarted entries are ready", ready)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of the restarted entries are ready", ready)
		}
	}
}

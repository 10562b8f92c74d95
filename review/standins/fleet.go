//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

const (
	readyTime = 15 * time.Second
	// heartbeat is the time between two registrations of a server.
	heartbeat = 1200 * time.Millisecond
)

// entry is one entry process.
type entry struct {
	name, ip, front, ready, control string
	settings                        string
	content                         map[string]any
	process                         *exec.Cmd
	ended                           chan struct{}
}

// deployment is a small deployment: a store, a cloud, and entries.
type deployment struct {
	record  *record
	store   *store
	cloud   *cloud
	folder  string
	entries []*entry
}

// zones are the failure domains of the site dulang-takziah.
var zones = []string{"shah-alam", "petaling", "cheras"}

// newDeployment starts the store and the cloud, writes the configuration and starts the entries with the bounds of a site.
func newDeployment(record *record, count int, configuration any, bounds map[string]any, duties ...string) *deployment {
	folder, err := os.MkdirTemp("", "review")
	must(err)
	deployment := &deployment{record: record, store: newStore(), cloud: newCloud(record), folder: folder}
	content, err := json.Marshal(configuration)
	must(err)
	deployment.store.put("op/config", content)
	block := 1 + rand.IntN(250)
	for i := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), block, 1+i)
		deployment.entries = append(deployment.entries, &entry{
			name: fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3), ip: ip,
			front: free(ip), ready: free(ip), control: free(ip),
		})
	}
	for i := range deployment.entries {
		deployment.writeSettings(i, bounds, duties)
	}
	for _, entry := range deployment.entries {
		deployment.start(entry)
	}
	return deployment
}

func (deployment *deployment) writeSettings(i int, bounds map[string]any, duties []string) {
	entry := deployment.entries[i]
	seeds := []string{}
	for _, seed := range deployment.entries[:min(3, len(deployment.entries))] {
		seeds = append(seeds, seed.control)
	}
	zoneMap := map[string]string{}
	for _, zone := range zones {
		zoneMap[zone] = "klang"
	}
	settings := map[string]any{
		"NodeName": entry.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "control"}, "Ip": entry.ip,
		"Zone": zones[i%3], "Region": "klang", "Zones": zoneMap,
		"Listen":        map[string]string{"Front": entry.front, "Ready": entry.ready, "Control": entry.control},
		"InternalPorts": []int{7600, 7615}, "Seeds": seeds, "Bootstrap": true,
		"Limits":    map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"Discovery": "platform", "Entry": "vip", "HeartbeatMs": heartbeat.Milliseconds(),
		"Bounds":   bounds,
		"Provider": map[string]any{"Address": deployment.store.listenFor(entry.name), "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1 << 20, "TtlMinMs": 1000},
		"Cloud":    map[string]any{"Address": deployment.cloud.listenFor(entry.name), "RatePerS": 50.0, "Duties": append([]string{}, duties...), "DutyPerS": 50.0},
	}
	entry.settings, entry.content = filepath.Join(deployment.folder, entry.name+".json"), settings
	entry.store()
}

// store writes the settings file of an entry, in one step.
func (entry *entry) store() {
	content, err := json.MarshalIndent(entry.content, "", "  ")
	must(err)
	next := entry.settings + ".next"
	must(os.WriteFile(next, content, 0o600))
	must(os.Rename(next, entry.settings))
}

// replaceSeed names another entry in place of a seed in the settings of all entries, and signals it to each, as the platform does
// after it has replaced the seed's machine.
func (deployment *deployment) replaceSeed(old, other *entry) {
	for _, entry := range deployment.entries {
		seeds := slices.Clone(entry.content["Seeds"].([]string))
		seeds[slices.Index(seeds, old.control)] = other.control
		entry.content["Seeds"] = seeds
		entry.store()
		deployment.record.add("%s gets SIGHUP", entry.name)
		entry.signal(syscall.SIGHUP)
	}
}

// start starts the program of the deploy file with the settings of an entry. Its log goes to a file in the temporary folder.
func (deployment *deployment) start(entry *entry) {
	log, err := os.OpenFile(filepath.Join(deployment.folder, entry.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	command := exec.Command("target/rosemaryspar", "node", "--metrics-port", "9464")
	command.Env = append(os.Environ(), "ROSEMARYSPAR_NODE_FILE="+entry.settings)
	command.Stdout, command.Stderr = log, log
	// The entries end with this program, whatever ends it: main keeps its thread.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	must(command.Start())
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	entry.process, entry.ended = command, ended
}

func (entry *entry) signal(signal syscall.Signal) { _ = entry.process.Process.Signal(signal) }

// isReady asks for the readiness of an entry as the platform does.
func (entry *entry) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + entry.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready; without that, the case cannot run.
func (deployment *deployment) awaitReady() {
	deadline := time.Now().Add(readyTime)
	for _, entry := range deployment.entries {
		for !entry.isReady() {
			if time.Now().After(deadline) {
				deployment.stop()
				cannotRun("%s is not ready after %v", entry.name, readyTime)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// entryNamed returns the entry with a name.
func (deployment *deployment) entryNamed(name string) *entry {
	for _, entry := range deployment.entries {
		if entry.name == name {
			return entry
		}
	}
	return nil
}

// stop ends all entries and removes the temporary folder.
func (deployment *deployment) stop() {
	for _, entry := range deployment.entries {
		entry.signal(syscall.SIGKILL)
		<-entry.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	}
}

// allocated are the ports that [free] has returned.
var allocated = map[int]bool{}

// free returns a free port of an address, "IP:port", below the range from which the kernel picks ports.
func free(ip string) string {
	for {
		port := 12000 + rand.IntN(18000)
		address := fmt.Sprintf("%s:%d", ip, port)
		listener, err := net.Listen("tcp", address)
		if err == nil && !allocated[port] {
			allocated[port] = true
			must(listener.Close())
			return address
		}
	}
}

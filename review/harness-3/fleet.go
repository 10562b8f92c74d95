//go:build review3

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the settings, those of the Kerhoas sheet.
const (
	contactTime = 3 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// node is an entry process, with its addresses.
type node struct {
	name, ip, front, ready, control string
	settings                        string
	command                         *exec.Cmd
	ended                           chan struct{}
}

// fleet is the entry processes of a case.
type fleet struct {
	record  *record
	folder  string
	program string
	root    string
	// metricsPort is the port of the deploy file, which is free on each address.
	nodes []*node
	mutex sync.Mutex
}

// newFleet writes the settings of entries on loopback addresses of their own.
func newFleet(record *record, folder, root string, count int, storeAddress, cloudAddress string, change func(index int, settings map[string]any)) (*fleet, error) {
	fleet := &fleet{record: record, folder: folder, root: root, program: filepath.Join(root, "target", "rosemaryspar")}
	zones := []string{"quimper", "vannes", "morlaix"}
	for i := range count {
		ip := fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%100, 11+i)
		zone := zones[i%len(zones)]
		created := &node{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), ip: ip}
		ports, err := freePorts(ip, 3)
		if err != nil {
			return nil, err
		}
		created.front, created.ready, created.control = ports[0], ports[1], ports[2]
		created.settings = filepath.Join(folder, created.name+".json")
		fleet.nodes = append(fleet.nodes, created)
	}
	for i, created := range fleet.nodes {
		settings := map[string]any{
			"NodeName": created.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "control"}, "Ip": created.ip,
			"Zone": zones[i%len(zones)], "Region": "bretagne",
			"Zones":  map[string]string{"quimper": "bretagne", "vannes": "bretagne", "morlaix": "bretagne"},
			"Listen": map[string]string{"Front": created.front, "Ready": created.ready, "Control": created.control},
			"Seeds":  fleet.seeds(), "Bootstrap": true,
			"Limits":    map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
			"Discovery": "platform", "Entry": "vip", "HeartbeatMs": heartbeat.Milliseconds(),
			"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"},
			"FaultTolerance": map[string]int{"Machines": 1, "Zones": 0, "Regions": 0},
			"Bounds": map[string]any{
				"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": contactTime.Milliseconds(), "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
				"LostMs": 200, "ConfigApplyMs": 2000, "DowngradeMs": 250, "OuterMs": 5000, "StrictRevoke": true, "RevokeMs": 5000,
				"RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 56, "QuotaWindowS": 8, "QuotaOver": 0.1, "QuotaSlack": 110000,
				"EnforceFencing": true, "LeaseMs": 3000, "ThawMs": 300, "UsageWindowS": 5, "UsageTolerance": 0.05, "UsageLateS": 10,
				"RecoverS": 12, "PassMs": 120, "RetryAfterS": 9.6,
			},
			"Provider": map[string]any{"Address": storeAddress, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
			"Cloud":    map[string]any{"Address": cloudAddress, "RatePerS": 50.0, "Duties": []string{"usage_report"}, "DutyPerS": 50.0},
		}
		if change != nil {
			change(i, settings)
		}
		content, err := json.MarshalIndent(settings, "", " ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(created.settings, content, 0o600); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// seeds returns the peer addresses of three entries.
func (fleet *fleet) seeds() []string {
	var seeds []string
	for _, node := range fleet.nodes[:min(3, len(fleet.nodes))] {
		seeds = append(seeds, node.control)
	}
	return seeds
}

// freePorts returns addresses with different free ports of an IP.
func freePorts(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// start starts an entry with the command of the deploy file.
func (fleet *fleet) start(index int) error {
	node := fleet.nodes[index]
	log, err := os.OpenFile(filepath.Join(fleet.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(fleet.program, "node", "--metrics-port", "9464")
	command.Dir = fleet.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYSPAR_NODE_FILE=" + node.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	fleet.mutex.Lock()
	node.command, node.ended = command, ended
	fleet.mutex.Unlock()
	go func() {
		err := command.Wait()
		fleet.record.add("process %s ended: %v", node.name, err)
		_ = log.Close()
		close(ended)
	}()
	fleet.record.add("process %s started, front %s", node.name, node.front)
	return nil
}

// startAll starts all entries and waits until they are ready.
func (fleet *fleet) startAll() error {
	for i := range fleet.nodes {
		if err := fleet.start(i); err != nil {
			return err
		}
	}
	return fleet.awaitReady(15 * time.Second)
}

// awaitReady waits until all entries are ready.
func (fleet *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, node := range fleet.nodes {
		for !node.isReady() {
			if time.Now().After(deadline) {
				return errors.New(node.name + " does not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (node *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.ready+"/v1/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to an entry.
func (fleet *fleet) signal(index int, signal syscall.Signal) {
	node := fleet.nodes[index]
	fleet.record.say("signal %v to %s", signal, node.name)
	_ = node.command.Process.Signal(signal)
}

// killAll ends all entries.
func (fleet *fleet) killAll() {
	for _, node := range fleet.nodes {
		if node.command != nil {
			_ = node.command.Process.Signal(syscall.SIGCONT)
			_ = node.command.Process.Kill()
			<-node.ended
		}
	}
}

// logLines returns the lines of an entry's log that contain a text.
func (fleet *fleet) logLines(index int, text string) []string {
	content, _ := os.ReadFile(filepath.Join(fleet.folder, fleet.nodes[index].name+".log"))
	var lines []string
	for line := range strings.SplitSeq(string(content), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

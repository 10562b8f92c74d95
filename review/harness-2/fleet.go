package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// fleet is a small deployment: entries as processes, a store and a cloud API.
type fleet struct {
	record  *record
	store   *store
	cloud   string
	folder  string
	entries []*entry
	version int64
}

// entry is a process of the system.
type entry struct {
	name, ip                          string
	front, ready, control, configFile string
	command                           *exec.Cmd
}

// freePort returns a port that is free at an address of the loopback network.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// newFleet starts the stand-ins and prepares the settings of count entries.
func newFleet(r *record, count int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder}
	if f.store, err = newStore("127.0.0.1"); err != nil {
		return nil, err
	}
	if f.cloud, err = newCloud("127.0.0.1"); err != nil {
		return nil, err
	}
	for i := range count {
		e := &entry{name: fmt.Sprintf("front-a-%d", i+1), ip: fmt.Sprintf("127.0.1.%d", i+1)}
		var ports [3]int
		for p := range ports {
			if ports[p], err = freePort(e.ip); err != nil {
				return nil, err
			}
		}
		e.front, e.ready, e.control = fmt.Sprintf("%s:%d", e.ip, ports[0]), fmt.Sprintf("%s:%d", e.ip, ports[1]), fmt.Sprintf("%s:%d", e.ip, ports[2])
		f.entries = append(f.entries, e)
	}
	return f, nil
}

// settings returns the settings of an entry, with the bounds of a small deployment.
func (f *fleet) settings(e *entry) map[string]any {
	seeds := []string{}
	for _, other := range f.entries[:min(3, len(f.entries))] {
		seeds = append(seeds, other.control)
	}
	return map[string]any{
		"NodeName": e.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "control"},
		"Ip": e.ip, "Zone": "a", "Region": "r", "Zones": map[string]string{"a": "r"},
		"Listen": map[string]string{"Front": e.front, "Ready": e.ready, "Control": e.control}, "InternalPorts": []int{},
		"Seeds": seeds, "Bootstrap": true, "FailureDomainMember": false,
		"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"},
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LostMs": 200,
			"ConfigApplyMs": 2000, "DowngradeMs": 250, "OuterMs": 5000, "StrictRevoke": true, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
			"BudgetWindowS": 10, "BudgetSlack": 58, "QuotaWindowS": 8, "QuotaOver": 0.1, "QuotaSlack": 110000, "EnforceFencing": true,
			"LeaseMs": 3000, "ThawMs": 300, "UsageWindowS": 5, "UsageTolerance": 0.05, "UsageLateS": 10, "RecoverS": 12, "PassMs": 120, "RetryAfterS": 9.3,
		},
		"Provider": map[string]any{"Address": f.store.address(), "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
		"Cloud":    map[string]any{"Address": f.cloud, "RatePerS": 50.0, "Duties": []string{"usage_report"}, "DutyPerS": 50.0},
	}
}

// startEntries starts all entries with the command of the deploy file and waits until they are ready.
func (f *fleet) startEntries() error {
	for _, e := range f.entries {
		content, err := json.Marshal(f.settings(e))
		if err != nil {
			return err
		}
		e.configFile = filepath.Join(f.folder, e.name+".json")
		if err := os.WriteFile(e.configFile, content, 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(f.folder, e.name+".log"))
		if err != nil {
			return err
		}
		e.command = exec.Command("target/rosemaryspar", "node", "--metrics-port", "9464")
		e.command.Env = append(os.Environ(), "ROSEMARYSPAR_NODE_FILE="+e.configFile)
		e.command.Stdout, e.command.Stderr = log, log
		e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := e.command.Start(); err != nil {
			return err
		}
	}
	for _, e := range f.entries {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (e *entry) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + e.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", e.name, limit)
}

func (e *entry) signal(s syscall.Signal) error { return e.command.Process.Signal(s) }

// stop ends all entries.
func (f *fleet) stop() {
	for _, e := range f.entries {
		if e.command != nil && e.command.Process != nil {
			_ = e.command.Process.Kill()
			_, _ = e.command.Process.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// putConfiguration writes the next version and returns when the store has acknowledged it.
func (f *fleet) putConfiguration(routes, services, tenants []any) time.Time {
	f.version += 3
	content, _ := json.Marshal(map[string]any{
		"Version": f.version, "Routes": routes, "Services": services, "Tenants": tenants,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
	})
	f.store.put("op/config", content)
	return time.Now()
}

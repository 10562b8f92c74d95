package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// The number of processes, and the bounds, of the soak test. All its waits are of real time: the entries are separate processes, which
// testing/synctest does not reach.
const (
	soakEntries = 4
	soakRunners = 4
	// soakFaults is the number of faults that are injected for a seed, one after another, and soakFaultKinds the number of the cases of
	// injectFault.
	soakFaults     = 8
	soakFaultKinds = 13
	// soakStartTime is enough for the entries to start, find each other and read the configuration.
	soakStartTime = time.Second
	// soakRecoveryTime is what the entries have to recover after the last fault, and soakServingTime how long calls are counted then.
	soakRecoveryTime = 2 * time.Second
	soakServingTime  = 2 * time.Second
	// minSoakPause and maxSoakPause bound the time between two faults, shorter than most recoveries, so that these overlap with the next fault.
	minSoakPause = 100 * time.Millisecond
	maxSoakPause = 500 * time.Millisecond
	// soakRevokeTime is how long calls with an access key may still run after the key was removed from the
	// configuration.
	soakRevokeTime = 3 * time.Second
	// soakDrainTime is how long after the first answer that says so a leaving runner may still get calls of entries that heard it
	// from others, and soakClosedTime is how long a runner asks for no calls.
	soakDrainTime  = 2 * time.Second
	soakClosedTime = 2 * time.Second
	// soakClosedCalls is the number of calls that each entry may send to a closed runner half a second after the first answer
	// that asks for none.
	soakClosedCalls = 2
	// soakRestoreShare is the part of the faults, 1 in so many, after which the store is restored from a backup, at most maxSoakBackupAge
	// old. What operators and runners wrote is written again within maxSoakRewriteTime.
	soakRestoreShare   = 3
	maxSoakBackupAge   = 3 * time.Second
	maxSoakRewriteTime = time.Second
)

// soak is a small deployment of entry processes, with stand-ins for the platform's store, cloud API and runners.
type soak struct {
	t      *testing.T
	random *rand.Rand
	// restores draws the restores of the store, apart from the faults, whose draws stay what they are for a seed.
	restores *rand.Rand
	store    *platform.Store
	cloud    *platform.Cloud
	runs     platform.Runs
	folder   string
	// allocated holds the addresses given to entries, running or not.
	allocated      map[string]bool
	frontAddresses []string
	peerAddresses  []string
	// readyAddresses are those of the latest start of each entry.
	readyAddresses []string
	processes      []*process.Process
	runners        []*platform.Runner
	// limits are the limits in the settings file of the entries, nil for none.
	limits         map[string]any
	runnersStarted int
	// contracts are the optional parts of the platform that the entries use.
	contracts     []string
	configVersion int
	// configuration is the latest that the operator has written.
	configuration []byte
	// revokedAt is when the key k2 was removed from the configuration, in nanoseconds since 1970, or 0 before that.
	revokedAt atomic.Int64
	// attemptsSent counts all calls, for their attempt ids. Of the calls whose key was valid, calls counts
	// those sent and served those answered with status 200.
	attemptsSent atomic.Int64
	calls        atomic.Int64
	served       atomic.Int64
	// violations receives a description of each wrong answer or run.
	violations chan string
	// failures holds the calls with a valid key that were not served, by their outcome.
	failuresMutex sync.Mutex
	failures      map[soakFailure]int
}

// soakFailure is the outcome of a call that was not served: the entry, the path, and the status and text of its answer or
// the error.
type soakFailure struct {
	entry  int
	path   string
	status int
	detail string
}

// Guards against wrong answers, orders that run twice, refused calls that ran, refused valid keys, calls that
// run with a removed key, contradictory usage reports, and entries that do not recover. The faults, their times and the
// entry that each call goes to are drawn from a seed: entries that are killed, stopped or suspended, crashing, leaving, closed, truncating and garbling runners, above and below the framing, a store that is
// unavailable or loses answers, new configurations and reloaded settings. After some faults the store is restored from a backup. ROSEMARYSPAR_SOAK_SEEDS is the number of seeds, 1 if
// it is not set. The test uses real time, since the entries are separate processes.
func TestSoakOfTheNodeProcesses(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("ROSEMARYSPAR_SOAK_SEEDS"))
	if err != nil {
		seeds = 1
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { newSoak(t, uint64(seed)).run() })
	}
}

// newSoak starts the stand-ins and the entries, and ends them at the end of the test. The faults are drawn from
// the seed.
func newSoak(t *testing.T, seed uint64, contracts ...string) *soak {
	soak := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), restores: rand.New(rand.NewPCG(seed, 2)), store: platform.NewStore(), cloud: platform.NewCloud(),
		runs: platform.NewRuns(), folder: t.TempDir(), allocated: map[string]bool{}, violations: make(chan string, 1000),
		failures: map[soakFailure]int{}, contracts: contracts,
	}
	t.Cleanup(soak.store.Close)
	t.Cleanup(soak.cloud.Close)
	soak.putConfiguration("k1", "k2")
	soak.runners = make([]*platform.Runner, soakRunners)
	for i := range soak.runners {
		soak.startRunner(i)
	}
	for range soakEntries {
		soak.frontAddresses, soak.peerAddresses = append(soak.frontAddresses, soak.freeAddress()), append(soak.peerAddresses, soak.freeAddress())
	}
	soak.processes, soak.readyAddresses = make([]*process.Process, soakEntries), make([]string, soakEntries)
	for i := range soak.processes {
		soak.startEntry(i)
	}
	t.Cleanup(func() {
		for _, process := range soak.processes {
			process.Kill()
		}
		for _, runner := range soak.runners {
			runner.Crash()
		}
	})
	return soak
}

// run sends calls while it injects faults. The entries have soakRecoveryTime to recover after the last fault; of the calls in
// the soakServingTime after that, at least 95 % must be served.
func (soak *soak) run() {
	ctx, stop := context.WithCancel(soak.t.Context())
	var callers sync.WaitGroup
	time.Sleep(soakStartTime)
	for i := range 8 {
		random := rand.New(rand.NewPCG(soak.random.Uint64(), uint64(i)))
		callers.Go(func() {
			for ctx.Err() == nil {
				soak.call(i, random.IntN(soakEntries))
			}
		})
	}
	for range soakFaults {
		soak.injectFault()
		if soak.restores.IntN(soakRestoreShare) == 0 {
			soak.restoreStore(time.Duration(soak.restores.Int64N(int64(maxSoakBackupAge))))
		}
		time.Sleep(minSoakPause + time.Duration(soak.random.IntN(int((maxSoakPause-minSoakPause)/time.Millisecond)))*time.Millisecond)
	}
	time.Sleep(soakRecoveryTime)
	soak.takeFailures()
	calls, served := soak.calls.Load(), soak.served.Load()
	time.Sleep(soakServingTime)
	calls, served = soak.calls.Load()-calls, soak.served.Load()-served
	failures := soak.takeFailures()
	stop()
	callers.Wait()
	soak.reportViolations()
	assert.Greater(soak.t, calls, int64(100))
	assert.GreaterOrEqual(soak.t, float64(served), 0.95*float64(calls), "fewer than 95 %% of the calls after the faults were served; failures: %v", failures)
	assert.Empty(soak.t, soak.cloud.Conflicts())
}

// awaitServing waits until an entry has answered a call.
func (soak *soak) awaitServing(entry int) {
	served := soak.served.Load()
	require.Eventually(soak.t, func() bool {
		soak.call(0, entry)
		return soak.served.Load() > served
	}, 20*time.Second, 20*time.Millisecond, "entry %d does not serve", entry)
}

// reportViolations fails the test with each violation. No call may be sent after it.
func (soak *soak) reportViolations() {
	close(soak.violations)
	for violation := range soak.violations {
		soak.t.Error(violation)
	}
}

// takeFailures returns the failures since the last call of it.
func (soak *soak) takeFailures() map[soakFailure]int {
	soak.failuresMutex.Lock()
	defer soak.failuresMutex.Unlock()
	failures := soak.failures
	soak.failures = map[soakFailure]int{}
	return failures
}

// addFailure records a call that was not served.
func (soak *soak) addFailure(failure soakFailure) {
	soak.failuresMutex.Lock()
	defer soak.failuresMutex.Unlock()
	soak.failures[failure]++
}

// injectFault draws one fault, injects it and ends it, except that the key k2 stays removed.
func (soak *soak) injectFault() {
	index, duration := soak.random.IntN(soakEntries), time.Duration(300+soak.random.IntN(1200))*time.Millisecond
	kind := soak.random.IntN(soakFaultKinds)
	soak.t.Logf("fault %d at entry %d for %v", kind, index, duration)
	during := func(set func(bool)) {
		set(true)
		time.Sleep(duration) // The calls of the callers meet the fault.
		set(false)
	}
	switch kind {
	case 0:
		soak.processes[index].Kill()
		soak.startEntry(index)
	case 1:
		soak.restart(index)
	case 2:
		require.NoError(soak.t, soak.processes[index].Signal(syscall.SIGSTOP))
		time.Sleep(2 * duration) // 0.6 to 3 s, so that a leader's lease of 2 s ends in some suspensions and not in others.
		require.NoError(soak.t, soak.processes[index].Signal(syscall.SIGCONT))
	case 3:
		during(soak.store.SetUnavailable)
	case 4:
		soak.store.SetLosesAnswers(true)
		soak.processes[index].Kill()
		time.Sleep(duration) // The other entries go on without it.
		soak.startEntry(index)
		soak.store.SetLosesAnswers(false)
	case 5:
		soak.runners[index].Crash()
		time.Sleep(duration) // Calls meet a runner that is listed and gone.
		soak.unregister(soak.runners[index])
		soak.startRunner(index)
	case 6:
		soak.putConfiguration("k1")
		soak.revokedAt.CompareAndSwap(0, time.Now().UnixNano())
	case 7:
		require.NoError(soak.t, soak.processes[index].Signal(syscall.SIGHUP))
	case 8:
		runner := soak.runners[index]
		runner.SetLeaving()
		time.Sleep(soakDrainTime + duration)
		if calls := runner.ArrivalsBetween(soakDrainTime, time.Hour); calls > 0 {
			soak.violations <- fmt.Sprintf("%s: %d calls later than %v after it said that it is leaving", runner.ID(), calls, soakDrainTime)
		}
		soak.unregister(runner)
		soak.startRunner(index)
	case 9:
		runner := soak.runners[index]
		runner.Close(time.Now().Add(soakClosedTime))
		time.Sleep(soakClosedTime)
		if calls := runner.ArrivalsBetween(500*time.Millisecond, soakClosedTime); calls > soakEntries*soakClosedCalls {
			soak.violations <- fmt.Sprintf("%s: %d calls while it asked %d entries for none", runner.ID(), calls, soakEntries)
		}
	case 10:
		during(soak.runners[index].SetGarbling)
	case 11:
		soak.setRunners((*platform.Runner).SetTruncating, true)
		soak.restart(index)
		soak.setRunners((*platform.Runner).SetTruncating, false)
	case 12:
		during(soak.runners[index].SetRawGarbling)
	}
}

// call sends one call of a caller to an entry. The caller decides the path.
func (soak *soak) call(caller, entry int) {
	soak.callPath(caller, entry, []string{"/order/", "/stock/", "/stream/"}[caller%3]+"x")
}

// callPath sends one call of a caller to an entry, and reports violations by its answer and the number of its runs. Caller 7
// uses the key that is removed later.
func (soak *soak) callPath(caller, entry int, path string) {
	attempt := fmt.Sprintf("%d-%d", caller, soak.attemptsSent.Add(1))
	key := "k1"
	if caller == 7 {
		key = "k2"
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+soak.frontAddresses[entry]+path, strings.NewReader("body"))
	require.NoError(soak.t, err)
	request.Host = "soak.example"
	request.Header.Set("X-Rosemaryspar-Attempt-Id", attempt)
	request.Header.Set("X-Rosemaryspar-Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Bearer "+key)
	sent := time.Now()
	status, body, err := roundTrip(request)
	revokedAt := soak.revokedAt.Load()
	afterRevocation := key == "k2" && revokedAt > 0 && sent.Sub(time.Unix(0, revokedAt)) > soakRevokeTime
	if key == "k1" || revokedAt == 0 {
		soak.calls.Add(1)
	}
	ran := soak.runs.Count(attempt)
	switch {
	case err == nil && status == http.StatusOK && body != platform.Body(path, attempt):
		soak.violations <- fmt.Sprintf("%s %s: wrong answer %.400q, runners garbled %v", path, attempt, body, soak.runs.Garblings(attempt))
	case err != nil && status == http.StatusOK && !strings.HasPrefix(platform.Body(path, attempt), body):
		soak.violations <- fmt.Sprintf("%s %s: wrong beginning of an answer that was broken off: %.400q, runners garbled %v", path, attempt, body, soak.runs.Garblings(attempt))
	case err == nil && status == http.StatusOK && (key == "k1" || revokedAt == 0):
		soak.served.Add(1)
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && ran > 0:
		soak.violations <- fmt.Sprintf("%s %s: refused with status %d, but ran", path, attempt, status)
	case status == http.StatusUnauthorized && key == "k1":
		soak.violations <- fmt.Sprintf("%s %s: a valid access key was refused", path, attempt)
	}
	if status != http.StatusOK && (key == "k1" || revokedAt == 0) {
		failure := soakFailure{entry: entry, path: path, status: status, detail: body}
		if err != nil {
			failure.detail = err.Error()
		}
		soak.addFailure(failure)
	}
	if strings.HasPrefix(path, "/order/") && ran > 1 {
		soak.violations <- fmt.Sprintf("%s %s: a non-idempotent call ran %d times", path, attempt, ran)
	}
	if afterRevocation && ran > 0 {
		soak.violations <- fmt.Sprintf("%s %s: ran with an access key that had been removed", path, attempt)
	}
	if status != http.StatusOK {
		time.Sleep(20 * time.Millisecond)
	}
}

// roundTrip sends a request on a new connection and returns the status and the body of the answer. The status is
// 0 without an answer; an incomplete body is an error.
func roundTrip(request *http.Request) (int, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// putConfiguration writes a configuration in which one client account has the access keys.
func (soak *soak) putConfiguration(keys ...string) {
	soak.configVersion += 1 + soak.random.IntN(3)
	route := func(name, kind string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": "soak.example", "Prefix": "/" + name + "/", "RouteType": kind, "Service": "s",
			"TimeoutMs": 3000, "Attempts": attempts, "StreamResume": resume,
		}
	}
	// The answers of the service long are long; only the tests of untrusted clients have a server of it.
	long := func(parent string) map[string]any {
		kind := map[string]string{"stock": "idempotent", "stream": "streaming"}[parent]
		changed := route(parent+"/long", kind, 1, false)
		changed["Prefix"], changed["Service"], changed["TimeoutMs"] = "/"+parent+"/long", "long", 60_000
		return changed
	}
	value, err := json.Marshal(map[string]any{
		"Version":  soak.configVersion,
		"Routes":   []any{route("order", "non_idempotent", 1, false), route("stock", "idempotent", 3, false), route("stream", "streaming", 3, true), route("stream/once", "streaming", 1, false), long("stock"), long("stream")},
		"Services": []any{map[string]any{"Name": "s"}, map[string]any{"Name": "long"}},
		"Tenants":  []any{map[string]any{"Name": "desk", "ApiKeys": keys}},
	})
	require.NoError(soak.t, err)
	soak.configuration = value
	soak.rewriteConfiguration()
}

// rewriteConfiguration writes the latest configuration again.
func (soak *soak) rewriteConfiguration() { soak.store.Put("op/config", soak.configuration) }

// restoreStore returns the store to its state of some time ago, and writes again what the operator and the runners have written. The
// operator's removal of a key is acknowledged only then.
func (soak *soak) restoreStore(ago time.Duration) {
	rewriteTime := time.Duration(soak.restores.Int64N(int64(maxSoakRewriteTime)))
	soak.t.Logf("the store is restored to its state of %v ago, and written again after %v", ago, rewriteTime)
	soak.store.Restore(ago)
	time.Sleep(rewriteTime)
	soak.rewriteConfiguration()
	if soak.revokedAt.Load() > 0 {
		soak.revokedAt.Store(time.Now().UnixNano())
	}
	for number := range soak.runnersStarted {
		soak.store.Delete(fmt.Sprint("servers/i-", number+1))
	}
	for _, runner := range soak.runners {
		soak.store.Put("servers/"+runner.ID(), runner.Item("s", "a", "ready"))
	}
}

// startRunner starts a runner with a new instance id and registers it in the store.
func (soak *soak) startRunner(index int) {
	soak.runnersStarted++
	soak.runners[index] = platform.NewRunner(fmt.Sprint("i-", soak.runnersStarted), soak.runs)
	soak.store.Put("servers/"+soak.runners[index].ID(), soak.runners[index].Item("s", "a", "ready"))
}

// addRunner starts one more runner, of a software version, and registers it in the store.
func (soak *soak) addRunner(version string, failing bool) {
	soak.runnersStarted++
	runner := platform.NewRunner(fmt.Sprint("i-", soak.runnersStarted), soak.runs)
	runner.SetVersion(version)
	runner.SetFailing(failing)
	soak.runners = append(soak.runners, runner)
	soak.store.Put("servers/"+runner.ID(), runner.Item("s", "a", "ready"))
}

// putServer registers a server in the store.
func (soak *soak) putServer(id string, item []byte) { soak.store.Put("servers/"+id, item) }

// unregister removes a runner from the store.
func (soak *soak) unregister(runner *platform.Runner) { soak.store.Delete("servers/" + runner.ID()) }

// restart stops an entry in order and starts it again.
func (soak *soak) restart(index int) {
	require.NoError(soak.t, soak.processes[index].Signal(syscall.SIGTERM))
	<-soak.processes[index].Ended()
	soak.startEntry(index)
}

// setRunners applies a change to all runners.
func (soak *soak) setRunners(set func(*platform.Runner, bool), value bool) {
	for _, runner := range soak.runners {
		set(runner, value)
	}
}

// awaitAllServing waits until each entry has answered a call.
func (soak *soak) awaitAllServing() {
	for entry := range soakEntries {
		soak.awaitServing(entry)
	}
}

// startEntry starts an entry; a restarted entry has the same name and addresses, except for its readiness address.
func (soak *soak) startEntry(index int) {
	name := fmt.Sprint("front-", index)
	soak.readyAddresses[index] = soak.freeAddress()
	settings := map[string]any{
		"NodeName": name, "Zone": "a", "Region": "r", "Zones": map[string]string{"a": "r"}, "Seeds": soak.peerAddresses[:2],
		"Listen":   map[string]string{"Front": soak.frontAddresses[index], "Ready": soak.readyAddresses[index], "Control": soak.peerAddresses[index]},
		"Bounds":   map[string]any{"GraceS": 5, "RevokeMs": soakRevokeTime.Milliseconds(), "LeaseMs": 2000, "BudgetSlack": 1000, "UsageWindowS": 1, "UsageLateS": 6},
		"Provider": map[string]string{"Address": soak.store.Address()},
		"Cloud":    map[string]any{"Address": soak.cloud.Address(), "Duties": []string{"usage_report"}},

		"Contracts": soak.contracts,
	}
	if soak.limits != nil {
		settings["Limits"] = soak.limits
	}
	content, err := json.Marshal(settings)
	require.NoError(soak.t, err)
	path := filepath.Join(soak.folder, name+".json")
	require.NoError(soak.t, os.WriteFile(path, content, 0o600))
	soak.processes[index], err = programs.Start("rosemaryspar", "node", "--settings", path, "--log-level", "info")
	require.NoError(soak.t, err)
}

// The range of ports lies below the ephemeral ports of Linux, so that the kernel assigns none of them to a
// socket that does not ask for a certain port.
const (
	minPort = 12000
	maxPort = 32000
)

// freeAddress returns an address on which no process listens and that was not allocated before. The
// allocation is recorded because the addresses of an entry that is not running look free.
func (soak *soak) freeAddress() string {
	for range 100 {
		address := fmt.Sprint("127.0.0.1:", minPort+rand.IntN(maxPort-minPort))
		if soak.allocated[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(soak.t, listener.Close())
		soak.allocated[address] = true
		return address
	}
	require.Fail(soak.t, "no free port found in 100 attempts")
	return ""
}

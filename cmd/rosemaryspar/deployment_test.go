package main_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// The size of a deployment that has a fleet of entries.
const (
	deploymentEntries = 4
	deploymentRunners = 4
)

// deployment is a small deployment of entry processes of the command node, with stand-ins for the platform's store, cloud API and runners.
// The time of its tests is real, since testing/synctest does not reach other processes.
type deployment struct {
	t *testing.T
	// random draws the versions of the configurations, and the faults of the soak test.
	random *rand.Rand
	store  *platform.Store
	cloud  *platform.Cloud
	runs   platform.Runs
	folder string
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
	failures      map[callFailure]int
}

// newDeployment starts the stand-ins and a fleet of entries, and ends them at the end of the test. The versions of the configurations
// are drawn from the seed.
func newDeployment(t *testing.T, seed uint64, contracts ...string) *deployment {
	deployment := newStandIns(t, seed)
	deployment.contracts = contracts
	deployment.putConfiguration("k1", "k2")
	deployment.start(deploymentEntries, deploymentRunners)
	return deployment
}

// newStandIns starts the stand-ins for the store and the cloud API, for a deployment without entries and runners.
func newStandIns(t *testing.T, seed uint64) *deployment {
	deployment := &deployment{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), store: platform.NewStore(), cloud: platform.NewCloud(), runs: platform.NewRuns(),
		folder: t.TempDir(), allocated: map[string]bool{}, violations: make(chan string, 1000), failures: map[callFailure]int{},
	}
	t.Cleanup(deployment.store.Close)
	t.Cleanup(deployment.cloud.Close)
	return deployment
}

// start starts runners and entries, and ends them at the end of the test.
func (deployment *deployment) start(entries, runners int) {
	deployment.runners = make([]*platform.Runner, runners)
	for i := range deployment.runners {
		deployment.startRunner(i)
	}
	for range entries {
		deployment.frontAddresses, deployment.peerAddresses = append(deployment.frontAddresses, deployment.freeAddress()), append(deployment.peerAddresses, deployment.freeAddress())
	}
	for len(deployment.peerAddresses) < seedAddresses { // A single entry has a seed at which nothing listens.
		deployment.peerAddresses = append(deployment.peerAddresses, deployment.freeAddress())
	}
	deployment.processes, deployment.readyAddresses = make([]*process.Process, entries), make([]string, entries)
	for i := range deployment.processes {
		deployment.startEntry(i)
	}
	deployment.t.Cleanup(func() {
		for _, process := range deployment.processes {
			process.Kill()
		}
		for _, runner := range deployment.runners {
			runner.Crash()
		}
	})
}

// startRunner starts a runner with a new instance id and registers it in the store.
func (deployment *deployment) startRunner(index int) {
	deployment.runnersStarted++
	deployment.runners[index] = platform.NewRunner(fmt.Sprint("i-", deployment.runnersStarted), deployment.runs)
	deployment.register(deployment.runners[index])
}

// addRunner starts one more runner, of a software version, and registers it in the store.
func (deployment *deployment) addRunner(version string, failing bool) {
	deployment.runnersStarted++
	runner := platform.NewRunner(fmt.Sprint("i-", deployment.runnersStarted), deployment.runs)
	runner.SetVersion(version)
	runner.SetFailing(failing)
	deployment.runners = append(deployment.runners, runner)
	deployment.register(runner)
}

// setRunners applies a change to all runners.
func (deployment *deployment) setRunners(set func(*platform.Runner, bool), value bool) {
	for _, runner := range deployment.runners {
		set(runner, value)
	}
}

// startEntry starts an entry; a restarted entry has the same name and addresses, except for its readiness address.
func (deployment *deployment) startEntry(index int) {
	deployment.readyAddresses[index] = deployment.freeAddress()
	content, err := json.Marshal(deployment.settings(index))
	require.NoError(deployment.t, err)
	path := filepath.Join(deployment.folder, nodeName(index)+".json")
	require.NoError(deployment.t, os.WriteFile(path, content, 0o600))
	deployment.processes[index], err = programs.Start("rosemaryspar", "node", "--settings", path, "--log-level", "info")
	require.NoError(deployment.t, err)
}

// nodeName returns the name of an entry.
func nodeName(index int) string { return fmt.Sprint("front-", index) }

// restart stops an entry in order and starts it again.
func (deployment *deployment) restart(index int) {
	require.NoError(deployment.t, deployment.processes[index].Signal(syscall.SIGTERM))
	<-deployment.processes[index].Ended()
	deployment.startEntry(index)
}

// The range of ports lies below the ephemeral ports of Linux, so that the kernel assigns none of them to a
// socket that does not ask for a certain port.
const (
	minPort = 12000
	maxPort = 32000
)

// freeAddress returns an address on which no process listens and that was not allocated before. The
// allocation is recorded because the addresses of an entry that is not running look free.
func (deployment *deployment) freeAddress() string {
	for range 100 {
		address := fmt.Sprint("127.0.0.1:", minPort+rand.IntN(maxPort-minPort))
		if deployment.allocated[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(deployment.t, listener.Close())
		deployment.allocated[address] = true
		return address
	}
	require.Fail(deployment.t, "no free port found in 100 attempts")
	return ""
}

package main_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

// The faults and the bounds of the soak test. All its waits are of real time: the entries are separate processes, which
// testing/synctest does not reach.
const (
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

// soak is a deployment with drawn faults.
type soak struct {
	*deployment
	// restores draws the restores of the store, apart from the faults, whose draws stay what they are for a seed.
	restores *rand.Rand
}

// Guards against wrong answers, orders that run twice, refused calls that ran, refused valid keys, calls that run with a removed key,
// contradictory usage reports, and entries that do not recover. The faults, their times and the entry that each call goes to are drawn
// from a seed: entries that are killed, stopped or suspended; runners that crash, leave, ask for no calls, break streams off or write
// garbage, above and below the framing; a store that is unavailable or loses answers; new configurations and reloaded settings. After
// some faults the store is restored from a backup. ROSEMARYSPAR_SOAK_SEEDS is the number of seeds, 1 if it is not set.
func TestSoakOfTheNodeProcesses(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("ROSEMARYSPAR_SOAK_SEEDS"))
	if err != nil {
		seeds = 1
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { newSoak(t, uint64(seed)).run() })
	}
}

// newSoak starts a deployment whose faults are drawn from the seed.
func newSoak(t *testing.T, seed uint64) *soak {
	return &soak{deployment: newDeployment(t, seed), restores: rand.New(rand.NewPCG(seed, 2))}
}

// run sends calls while it injects faults. The entries have soakRecoveryTime to recover after the last fault; of the calls in
// the soakServingTime after that, at least 95 % must be served.
func (soak *soak) run() {
	ctx, stop := context.WithCancel(soak.t.Context())
	var callers sync.WaitGroup
	time.Sleep(soakStartTime) // The faults meet a fleet that has started, not one that starts.
	for i := range 8 {
		random := rand.New(rand.NewPCG(soak.random.Uint64(), uint64(i)))
		callers.Go(func() {
			for ctx.Err() == nil {
				soak.call(i, random.IntN(deploymentEntries))
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
	time.Sleep(soakRecoveryTime) // The bound itself: calls are counted from here on.
	soak.takeFailures()
	calls, served := soak.calls.Load(), soak.served.Load()
	time.Sleep(soakServingTime) // The callers go on; their calls of this time are counted.
	calls, served = soak.calls.Load()-calls, soak.served.Load()-served
	failures := soak.takeFailures()
	stop()
	callers.Wait()
	soak.reportViolations()
	assert.Greater(soak.t, calls, int64(100))
	assert.GreaterOrEqual(soak.t, float64(served), 0.95*float64(calls), "fewer than 95 %% of the calls after the faults were served; failures: %v", failures)
	assert.Empty(soak.t, soak.cloud.Conflicts())
}

// injectFault draws one fault, injects it and ends it, except that the key k2 stays removed.
func (soak *soak) injectFault() {
	index, duration := soak.random.IntN(deploymentEntries), time.Duration(300+soak.random.IntN(1200))*time.Millisecond
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
		time.Sleep(soakDrainTime + duration) // The other entries hear of it, and callers go on to find one that did not.
		if calls := runner.ArrivalsBetween(soakDrainTime, time.Hour); calls > 0 {
			soak.violations <- fmt.Sprintf("%s: %d calls later than %v after it said that it is leaving", runner.ID(), calls, soakDrainTime)
		}
		soak.unregister(runner)
		soak.startRunner(index)
	case 9:
		runner := soak.runners[index]
		runner.Close(time.Now().Add(soakClosedTime))
		time.Sleep(soakClosedTime) // No condition ends it: the runner counts the calls of the whole time.
		if calls := runner.ArrivalsBetween(500*time.Millisecond, soakClosedTime); calls > deploymentEntries*soakClosedCalls {
			soak.violations <- fmt.Sprintf("%s: %d calls while it asked %d entries for none", runner.ID(), calls, deploymentEntries)
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

// restoreStore returns the store to its state of some time ago, and writes again what the operator and the runners have written. The
// operator's removal of a key is acknowledged only then.
func (soak *soak) restoreStore(ago time.Duration) {
	rewriteTime := time.Duration(soak.restores.Int64N(int64(maxSoakRewriteTime)))
	soak.t.Logf("the store is restored to its state of %v ago, and written again after %v", ago, rewriteTime)
	soak.store.Restore(ago)
	time.Sleep(rewriteTime) // The entries and callers meet the store as the backup has it.
	soak.rewriteConfiguration()
	if soak.revokedAt.Load() > 0 {
		soak.revokedAt.Store(time.Now().UnixNano())
	}
	soak.registerAgain()
}

package main_test

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

const (
	// awaitTimeout bounds the wait for an event; it is longer than the failure detector takes to mark an entry as gone.
	awaitTimeout = 40 * time.Second
	// pollInterval is the time between two reads of a state whose changes are not reported.
	pollInterval = 20 * time.Millisecond
)

// load is the load that a stand-in reports at /load: the requests that run, and the chunks sent since its start.
type load struct {
	Running int
	Chunks  int64
}

// loadOf returns the load of a stand-in, or the zero load if it does not answer.
func loadOf(server *process.Process) load {
	var state load
	response, err := http.Get("http://" + server.Addresses["Address"] + "/load")
	if err != nil {
		return state
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&state)
	return state
}

// await waits until a condition holds, and fails the test with the name of the event after awaitTimeout.
func await(t *testing.T, event string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, awaitTimeout, pollInterval, event)
}

// awaitRunning waits until one of the stand-ins runs a request and has sent at least the given number of chunks
// since the call of awaitRunning, and returns that stand-in.
func awaitRunning(t *testing.T, servers []*process.Process, chunks int64) *process.Process {
	t.Helper()
	chunksBefore := map[*process.Process]int64{}
	for _, server := range servers {
		chunksBefore[server] = loadOf(server).Chunks
	}
	var found *process.Process
	await(t, "a stand-in runs the request", func() bool {
		for _, server := range servers {
			if current := loadOf(server); current.Running > 0 && current.Chunks >= chunksBefore[server]+chunks {
				found = server
				return true
			}
		}
		return false
	})
	return found
}

// signal sends a signal to a process; SIGSTOP suspends it and SIGCONT resumes it.
func signal(t *testing.T, process *process.Process, signal syscall.Signal) {
	t.Helper()
	require.NoError(t, process.Signal(signal))
}

// operatorStatus returns the HTTP status of a path at an entry's front end for operators, or 0 without an answer.
func operatorStatus(entry *process.Process, path string) int {
	response, err := http.Get("http://" + entry.Addresses["OperatorAddress"] + path)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// sendAsync sends a request in the background. The channel delivers the answer, or is closed if there is none.
func (fleet *fleet) sendAsync(t *testing.T, entry int, path, body, key string) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		defer close(answers)
		got, err := fleet.trySend(t.Context(), entry, path, body, key)
		if err == nil {
			answers <- got
		}
	}()
	return answers
}

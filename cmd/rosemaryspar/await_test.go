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
	// eventually bounds the wait for an event; it is longer than an entry takes to be known as gone.
	eventually = 40 * time.Second
	// lookInterval is the time between two looks at a state that sends no event.
	lookInterval = 20 * time.Millisecond
)

// load is what a stand-in says of its work.
type load struct {
	Running int
	Chunks  int64
}

// loadOf returns the load of a stand-in, zero if it does not answer.
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

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, eventually, lookInterval, what)
}

// awaitRunning returns a stand-in that runs a request and has sent chunks more than it had before.
func awaitRunning(t *testing.T, servers []*process.Process, chunks int64) *process.Process {
	t.Helper()
	before := map[*process.Process]int64{}
	for _, server := range servers {
		before[server] = loadOf(server).Chunks
	}
	var found *process.Process
	await(t, "a stand-in runs the request", func() bool {
		for _, server := range servers {
			if now := loadOf(server); now.Running > 0 && now.Chunks >= before[server]+chunks {
				found = server
				return true
			}
		}
		return false
	})
	return found
}

// signal sends a signal; SIGSTOP freezes a process and SIGCONT resumes it.
func signal(t *testing.T, process *process.Process, signal syscall.Signal) {
	t.Helper()
	require.NoError(t, process.Signal(signal))
}

// status returns the status of a path at an entry's front end for operators, 0 without an answer.
func status(entry *process.Process, path string) int {
	response, err := http.Get("http://" + entry.Addresses["OperatorAddress"] + path)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// later sends a request and passes its answer on.
func (fleet *fleet) later(t *testing.T, entry int, path, body, key string) <-chan answer {
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

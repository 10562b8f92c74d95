package platform

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

const (
	// workDuration is the time that a plain answer takes, and that each event of a stream takes.
	workDuration = 10 * time.Millisecond
	// callsPerLostAnswer is the mean number of calls per call that runs but is not answered.
	callsPerLostAnswer = 60
	// StreamEvents is the number of events in a streamed answer.
	StreamEvents = 8
)

// Runs counts how often each attempt id ran, over all runners that share it.
type Runs struct {
	counts *rcu.Cell[map[string]int]
}

// NewRuns returns counters for runners that have not run anything yet.
func NewRuns() Runs { return Runs{counts: rcu.New(map[string]int{})} }

// Count returns how often the attempt with that id ran, 0 if never.
func (runs Runs) Count(attempt string) int { return runs.counts.Load()[attempt] }

// add counts one more run of an attempt.
func (runs Runs) add(attempt string) {
	runs.counts.Update(func(counts map[string]int) map[string]int {
		next := maps.Clone(counts)
		next[attempt]++
		return next
	})
}

// Runner is a stand-in for a backend server. It answers paths below /stream/ with
// an event stream, which resumes after the Last-Event-Id header, and all others with plain text.
type Runner struct {
	id   string
	runs Runs
	http *httptest.Server
}

// NewRunner starts a runner on a free port of the loopback interface; it counts its runs in runs.
func NewRunner(id string, runs Runs) *Runner {
	runner := &Runner{id: id, runs: runs}
	runner.http = httptest.NewServer(http.HandlerFunc(runner.serve))
	return runner
}

// ID returns the instance id. A call with another id in X-Rosemaryspar-Expect-Instance gets status 421 and does
// not run.
func (runner *Runner) ID() string { return runner.id }

// Item returns the value that registers the runner in the metadata store, as JSON.
func (runner *Runner) Item(service, zone, state string) []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Slots":64,"State":%q}`, service, strings.TrimPrefix(runner.http.URL, "http://"), zone, state)
}

// Crash stops the runner and closes all its connections, so that running calls get no answer.
func (runner *Runner) Crash() {
	runner.http.CloseClientConnections()
	_ = runner.http.Config.Close()
}

// Body returns the complete answer that a runner gives to an attempt at a path.
func Body(path, attempt string) string {
	if !strings.HasPrefix(path, "/stream/") {
		return "answer to " + attempt
	}
	var body strings.Builder
	for index := range StreamEvents {
		body.WriteString(encodeEvent(attempt, index))
	}
	return body.String()
}

// encodeEvent returns the event at index of a streamed answer. The id of the event is index+1, the number of events
// up to it.
func encodeEvent(attempt string, index int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", index+1, attempt)
}

// serve answers a call, and counts it as a run unless it is for another instance. On average, one of
// callsPerLostAnswer calls runs without an answer: its connection is closed.
func (runner *Runner) serve(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Rosemaryspar-Attempt-Id")
	writer.Header().Set("X-Rosemaryspar-Attempt-Id", attempt)
	if expected := request.Header.Get("X-Rosemaryspar-Expect-Instance"); expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	runner.runs.add(attempt)
	if rand.IntN(callsPerLostAnswer) == 0 {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("X-Rosemaryspar-Upstream-Seal", runner.id+"."+attempt)
	if !strings.HasPrefix(request.URL.Path, "/stream/") {
		time.Sleep(workDuration)
		_, _ = io.WriteString(writer, Body(request.URL.Path, attempt))
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	start := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &start)
	for index := start; index < StreamEvents; index++ {
		time.Sleep(workDuration)
		if _, err := io.WriteString(writer, encodeEvent(attempt, index)); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
}

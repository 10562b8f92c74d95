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
	// workTime is how long a runner works on a call, and between the events of a stream.
	workTime = 10 * time.Millisecond
	// lostAnswers is how many calls a runner answers for each one that it runs without an answer.
	lostAnswers = 60
	// StreamEvents is the number of events of a stream.
	StreamEvents = 8
)

// Runs counts how often each attempt ran, at all runners.
type Runs struct {
	counts *rcu.Cell[map[string]int]
}

// NewRuns returns counts of nothing.
func NewRuns() Runs { return Runs{counts: rcu.New(map[string]int{})} }

// Count returns how often an attempt ran.
func (runs Runs) Count(attempt string) int { return runs.counts.Load()[attempt] }

func (runs Runs) add(attempt string) {
	runs.counts.Update(func(counts map[string]int) map[string]int {
		next := maps.Clone(counts)
		next[attempt]++
		return next
	})
}

// Runner is a backend server. Calls below /stream/ are answered with events.
type Runner struct {
	id   string
	runs Runs
	http *httptest.Server
}

// NewRunner starts a runner of that id.
func NewRunner(id string, runs Runs) *Runner {
	runner := &Runner{id: id, runs: runs}
	runner.http = httptest.NewServer(http.HandlerFunc(runner.serve))
	return runner
}

// ID returns the id of the runner.
func (runner *Runner) ID() string { return runner.id }

// Item returns the runner's entry in the store.
func (runner *Runner) Item(service, zone, state string) []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Slots":64,"State":%q}`, service, strings.TrimPrefix(runner.http.URL, "http://"), zone, state)
}

// Crash closes the runner with all its connections.
func (runner *Runner) Crash() {
	runner.http.CloseClientConnections()
	_ = runner.http.Config.Close()
}

// Body returns the whole answer to an attempt at a path.
func Body(path, attempt string) string {
	if !strings.HasPrefix(path, "/stream/") {
		return "answer to " + attempt
	}
	var body strings.Builder
	for event := range StreamEvents {
		body.WriteString(eventOf(attempt, event))
	}
	return body.String()
}

func eventOf(attempt string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number+1, attempt)
}

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
	if rand.IntN(lostAnswers) == 0 {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("X-Rosemaryspar-Upstream-Seal", runner.id+"."+attempt)
	if !strings.HasPrefix(request.URL.Path, "/stream/") {
		time.Sleep(workTime)
		_, _ = io.WriteString(writer, Body(request.URL.Path, attempt))
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	first := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &first)
	for event := first; event < StreamEvents; event++ {
		time.Sleep(workTime)
		if _, err := io.WriteString(writer, eventOf(attempt, event)); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
}

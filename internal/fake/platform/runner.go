package platform

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
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
	// truncatedStreams is the mean number of streams per stream that a truncating runner breaks off.
	truncatedStreams = 2
)

// Runs counts how often each attempt id ran, over all runners that share it.
type Runs struct {
	counts *rcu.Cell[map[string]int]
	// garblings holds what runners did to the streams of each attempt.
	garblings *rcu.Cell[map[string][]Garbling]
}

// NewRuns returns counters for runners that have not run anything yet.
func NewRuns() Runs {
	return Runs{counts: rcu.New(map[string]int{}), garblings: rcu.New(map[string][]Garbling{})}
}

// Count returns how often the attempt with that id ran, 0 if never.
func (runs Runs) Count(attempt string) int { return runs.counts.Load()[attempt] }

// Garblings returns what runners did to the streams of an attempt anywhere in their bytes, in the order of their runs.
func (runs Runs) Garblings(attempt string) []Garbling { return runs.garblings.Load()[attempt] }

// GarbledKinds returns the number of garbled streams by the names in [GarblingKinds].
func (runs Runs) GarbledKinds() map[string]int {
	counts := map[string]int{}
	for _, garblings := range runs.garblings.Load() {
		for _, garbling := range garblings {
			for _, kind := range garbling.Kinds() {
				counts[kind]++
			}
		}
	}
	return counts
}

// addGarbling records what a runner did to a stream of an attempt.
func (runs Runs) addGarbling(attempt string, garbling Garbling) {
	runs.garblings.Update(func(garblings map[string][]Garbling) map[string][]Garbling {
		next := maps.Clone(garblings)
		next[attempt] = append(slices.Clip(next[attempt]), garbling)
		return next
	})
}

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
	// work is the time that a plain answer takes in place of workDuration, in nanoseconds, 0 for workDuration.
	work atomic.Int64
	// endless is whether streams have a second event without end.
	endless atomic.Bool
	// garbling is whether some streams have garbage between two events.
	garbling atomic.Bool
	// rawGarbling is whether some streams have garbage anywhere in their bytes.
	rawGarbling atomic.Bool
	// truncating is whether streams have neither a length nor chunks, and some of them break off; truncated counts those.
	truncating atomic.Bool
	truncated  atomic.Int64
	// leaving is whether all answers say that the runner is leaving.
	leaving atomic.Bool
	// version is that of the runner's software, nil for "v1", and failing whether half of its answers are a 500.
	version atomic.Pointer[string]
	failing atomic.Bool
	// closedUntil is the time until which calls are turned away, in nanoseconds since 1970.
	closedUntil atomic.Int64
	// announcedAt is when the last call of SetLeaving or Close was first answered, in nanoseconds since 1970, 0 if it was not yet.
	announcedAt atomic.Int64
	// arrivals holds the times of the calls since then, in nanoseconds since 1970.
	arrivals *rcu.Cell[[]int64]
}

// NewRunner starts a runner on a free port of the loopback interface; it counts its runs in runs.
func NewRunner(id string, runs Runs) *Runner {
	runner := &Runner{id: id, runs: runs, arrivals: rcu.New[[]int64](nil)}
	runner.http = httptest.NewServer(http.HandlerFunc(runner.serve))
	return runner
}

// ID returns the instance id. A call with another id in X-Rosemaryspar-Expect-Instance gets status 421 and does
// not run.
func (runner *Runner) ID() string { return runner.id }

// Item returns the value that registers the runner in the metadata store, as JSON.
func (runner *Runner) Item(service, zone, state string) []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Version":%q,"Slots":64,"State":%q,"ColdRemainingMs":0,"Sequence":1}`, service, strings.TrimPrefix(runner.http.URL, "http://"), zone, runner.Version(), state)
}

// Version returns the version of the runner's software.
func (runner *Runner) Version() string {
	if version := runner.version.Load(); version != nil {
		return *version
	}
	return "v1"
}

// SetVersion sets the version of the runner's software, before it is registered.
func (runner *Runner) SetVersion(version string) { runner.version.Store(&version) }

// SetFailing makes half of the answers a 500, or stops that.
func (runner *Runner) SetFailing(failing bool) { runner.failing.Store(failing) }

// Crash stops the runner and closes all its connections, so that running calls get no answer.
func (runner *Runner) Crash() {
	runner.http.CloseClientConnections()
	_ = runner.http.Config.Close()
}

// SetTruncating makes the runner send streams with neither a length nor chunks, or stop doing so. It closes the connections of some of
// them too early, without a reset: inside an event or, if the call has run before, behind the head.
func (runner *Runner) SetTruncating(truncating bool) { runner.truncating.Store(truncating) }

// Truncated returns the number of streams that the runner has broken off because of [Runner.SetTruncating].
func (runner *Runner) Truncated() int64 { return runner.truncated.Load() }

// SetWork sets the time that plain answers take.
func (runner *Runner) SetWork(duration time.Duration) { runner.work.Store(int64(duration)) }

// SetEndless makes the runner write bytes without end into the second event of each stream until its connection is closed, or stop
// doing so.
func (runner *Runner) SetEndless(endless bool) { runner.endless.Store(endless) }

// SetLeaving makes all answers say from now on that the runner is leaving. It goes on to run calls.
func (runner *Runner) SetLeaving() {
	runner.leaving.Store(true)
	runner.announcedAt.Store(0)
}

// Close makes the runner turn all calls away until a time, with the remaining time in Retry-After.
func (runner *Runner) Close(until time.Time) {
	runner.closedUntil.Store(until.UnixNano())
	runner.announcedAt.Store(0)
}

// ArrivalsBetween returns the number of calls that arrived within a time of the first answer after the last call of
// [Runner.SetLeaving] or [Runner.Close], at least from and less than until after that answer.
func (runner *Runner) ArrivalsBetween(from, until time.Duration) int {
	announcedAt, count := runner.announcedAt.Load(), 0
	for _, arrival := range runner.arrivals.Load() {
		if since := time.Duration(arrival - announcedAt); announcedAt > 0 && since >= from && since < until {
			count++
		}
	}
	return count
}

// recordArrival records a call, and sets the fields of its answer that say that the runner is leaving or closed. It
// reports whether the call is turned away.
func (runner *Runner) recordArrival(header http.Header) (turnedAway bool) {
	now := time.Now()
	remaining := time.Unix(0, runner.closedUntil.Load()).Sub(now)
	if runner.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	if remaining > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(remaining.Seconds()))))
		header.Set("X-Rosemaryspar-Not-Executed", "1")
	}
	if remaining > 0 || runner.leaving.Load() {
		runner.announcedAt.CompareAndSwap(0, now.UnixNano())
		runner.arrivals.Update(func(arrivals []int64) []int64 { return append(slices.Clone(arrivals), now.UnixNano()) })
	}
	return remaining > 0
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
	if runner.recordArrival(writer.Header()) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	runner.runs.add(attempt)
	if rand.IntN(callsPerLostAnswer) == 0 {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("X-Rosemaryspar-Upstream-Seal", runner.id+"."+attempt)
	if runner.failing.Load() && rand.IntN(2) == 0 {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !strings.HasPrefix(request.URL.Path, "/stream/") {
		time.Sleep(cmp.Or(time.Duration(runner.work.Load()), workDuration))
		_, _ = io.WriteString(writer, Body(request.URL.Path, attempt))
		return
	}
	start := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &start)
	runner.serveStream(writer, attempt, start)
}

// serveStream sends the events of a stream from start on, with the faults that are set.
func (runner *Runner) serveStream(writer http.ResponseWriter, attempt string, start int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	if runner.rawGarbling.Load() && rand.IntN(rawGarbledStreams) == 0 {
		runner.serveGarbled(writer, attempt, start)
		return
	}
	if runner.truncating.Load() {
		runner.serveCloseDelimited(writer, attempt, start)
		return
	}
	garbledAt := StreamEvents
	if runner.garbling.Load() && rand.IntN(garbledStreams) == 0 {
		garbledAt = start + rand.IntN(StreamEvents-start+1)
	}
	for index := start; index < StreamEvents; index++ {
		time.Sleep(workDuration)
		if index == start+1 && runner.endless.Load() {
			writeWithoutEnd(writer)
			return
		}
		if index == garbledAt {
			_, _ = io.WriteString(writer, garbage(index))
			if rand.IntN(2) == 0 {
				panic(http.ErrAbortHandler)
			}
		}
		if _, err := io.WriteString(writer, encodeEvent(attempt, index)); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
}

// serveCloseDelimited sends the events of a stream from start on with neither a length nor chunks. On average, one of truncatedStreams streams is broken
// off; half of those of a call that has run before, whose answer another runner may have begun, behind the head.
func (runner *Runner) serveCloseDelimited(writer http.ResponseWriter, attempt string, start int) {
	conn, fields, err := hijack(writer)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"); err != nil {
		return
	}
	truncatedAt := StreamEvents
	if rand.IntN(truncatedStreams) == 0 && start < StreamEvents {
		truncatedAt = start + rand.IntN(StreamEvents-start)
		runner.truncated.Add(1)
		if runner.runs.Count(attempt) > 1 && rand.IntN(2) == 0 {
			return
		}
	}
	for index := start; index < StreamEvents; index++ {
		time.Sleep(workDuration)
		event := encodeEvent(attempt, index)
		if index == truncatedAt {
			event = event[:1+rand.IntN(len(event)-1)]
		}
		if _, err := io.WriteString(conn, event); err != nil || index == truncatedAt {
			return
		}
	}
}

// writeWithoutEnd writes bytes in which no event ends until the connection is closed.
func writeWithoutEnd(writer io.Writer) {
	piece := strings.Repeat("x", 16<<10)
	for {
		if _, err := io.WriteString(writer, piece); err != nil {
			return
		}
	}
}

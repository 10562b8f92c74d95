package suspect_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
)

const (
	common suspect.PartFingerprint = iota + 1
	deadly
	rare
)

func never(suspect.PartFingerprint) bool  { return false }
func always(suspect.PartFingerprint) bool { return true }

// crashOf returns the crash of the server and request with a number, as many seconds after the start.
func crashOf(number int) suspect.PartCrash {
	return suspect.PartCrash{Server: fmt.Sprint("s", number), Request: uint64(number), At: start.Add(time.Duration(number) * time.Second)}
}

// withAnswers returns the tracker after count answers to requests with the parts.
func withAnswers(tracker suspect.PartTracker, count int, at time.Time, parts ...suspect.PartFingerprint) suspect.PartTracker {
	for range count {
		tracker = tracker.WithAnswer(parts, at)
	}
	return tracker
}

// Guards against requests that have only a part of their prompt in common and crash one server after the other, and against
// sound requests that are refused since they share the other parts or were in flight.
func TestPartThatCrashesServersIsFound(t *testing.T) {
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	crashes := func(count int, parts ...suspect.PartFingerprint) suspect.PartTracker {
		tracker := suspect.PartTracker{}
		for number := range count {
			tracker = tracker.WithCrash(parts, crashOf(number+1))
		}
		return tracker
	}
	sameServer, sameRequest := suspect.PartTracker{}, suspect.PartTracker{}
	for number := range 8 {
		crash := crashOf(number + 1)
		sameServer = sameServer.WithCrash([]suspect.PartFingerprint{deadly}, suspect.PartCrash{Server: "s", Request: crash.Request, At: crash.At})
		sameRequest = sameRequest.WithCrash([]suspect.PartFingerprint{deadly}, suspect.PartCrash{Server: crash.Server, Request: 1, At: crash.At})
	}
	cases := []struct {
		name     string
		tracker  suspect.PartTracker
		answered func(suspect.PartFingerprint) bool
		found    suspect.PartFingerprint
	}{
		{"three servers, others answer", withAnswers(crashes(3, common, deadly), 8, at(4), common), never, deadly},
		{"two servers", withAnswers(crashes(2, common, deadly), 8, at(4), common), never, 0},
		{"no other answer, since all servers are down", withAnswers(crashes(8, common, deadly), 7, at(9), rare), never, 0},
		{"the part itself is answered", withAnswers(crashes(8, common, deadly), 8, at(9), common, deadly), never, 0},
		{"the part is answered before its last crashes", withAnswers(crashes(5, deadly).WithAnswer([]suspect.PartFingerprint{deadly}, at(3)), 8, at(6), rare), never, 0},
		{"five servers, answered shortly before", withAnswers(crashes(5, deadly), 8, at(6), rare), always, 0},
		{"six servers, answered shortly before", withAnswers(crashes(6, deadly), 8, at(7), rare), always, deadly},
		{"one server of which many calls were lost", withAnswers(sameServer, 8, at(9), rare), never, 0},
		{"one request that crashes many servers", withAnswers(sameRequest, 8, at(9), rare), never, 0},
	}
	_, _, found := withAnswers(crashes(6, deadly), 8, at(7), rare).Crashing([]suspect.PartFingerprint{deadly}, at(7), always)
	assert.False(t, found, "the sixth crash is a second ago, and others may have answered the part")
	for _, c := range cases {
		part, _, found := c.tracker.Crashing([]suspect.PartFingerprint{common, deadly}, at(10), c.answered)
		assert.Equal(t, c.found != 0, found, c.name)
		assert.Equal(t, c.found, part, c.name)
	}
}

// Guards against the last part of a prompt, which belongs to one request, being taken for one that requests share.
func TestLastPartIsNotShared(t *testing.T) {
	prompt := func(ids ...string) call.Prompt {
		prompt := call.Prompt{Model: "m"}
		for _, id := range ids {
			prompt.Parts = append(prompt.Parts, call.Part{ID: id, Tokens: 100})
		}
		return prompt
	}
	assert.Empty(t, suspect.SharedParts(prompt()))
	assert.Empty(t, suspect.SharedParts(prompt("own")))
	assert.Equal(t, suspect.SharedParts(prompt("a", "b", "own")), suspect.SharedParts(prompt("a", "b", "other")))
	assert.Len(t, suspect.SharedParts(prompt("a", "b", "own")), 2)
	assert.NotEqual(t, suspect.SharedParts(prompt("a", "own")), suspect.SharedParts(prompt("b", "own")))
}

// Guards against entries that disagree on a part after they exchanged their reports, in whatever order, and against reports of a
// clock that is ahead, which later answers would not clear.
func TestPartReportsDoNotDependOnOrder(t *testing.T) {
	now := start.Add(time.Minute)
	from := suspect.PartTracker{}
	for number := range 5 {
		from = from.WithCrash([]suspect.PartFingerprint{common, deadly}, crashOf(number+1))
	}
	from = from.WithAnswer([]suspect.PartFingerprint{common}, start.Add(10*time.Second))
	reports := from.Reports(100)
	reversed := make([]suspect.PartReport, 0, len(reports))
	for _, report := range reports {
		reversed = append([]suspect.PartReport{report}, reversed...)
	}
	for _, received := range [][]suspect.PartReport{reports, reversed, append(reversed, reports...)} {
		to := withAnswers(suspect.PartTracker{}.WithReports(received, now), 8, now, rare)
		part, count, found := to.Crashing([]suspect.PartFingerprint{common, deadly}, now, never)
		assert.True(t, found)
		assert.Equal(t, deadly, part)
		assert.Equal(t, 5, count)
	}
	ahead := suspect.PartTracker{}.WithReports([]suspect.PartReport{{Part: deadly, Crash: suspect.PartCrash{Server: "s", At: now.Add(time.Hour)}}}, now)
	assert.Empty(t, ahead.WithAnswer([]suspect.PartFingerprint{deadly}, now.Add(time.Millisecond)).WithMaxAge(now.Add(time.Minute), time.Hour).Reports(10))
}

// Guards against a crash with many requests in flight whose parts displace the one that crashes server after server, and
// against memory that grows with each crash.
func TestPartsWithMostCrashesAreKeptAndReportedFirst(t *testing.T) {
	tracker := suspect.PartTracker{}
	for number := range 4 {
		tracker = tracker.WithCrash([]suspect.PartFingerprint{deadly}, crashOf(number+1))
	}
	for i := range 2000 {
		tracker = tracker.WithCrash([]suspect.PartFingerprint{suspect.PartFingerprint(1000 + i)}, crashOf(10))
	}
	assert.LessOrEqual(t, tracker.Len(), 256)
	for _, report := range tracker.Reports(4) {
		assert.Equal(t, deadly, report.Part)
	}
	assert.Zero(t, tracker.WithMaxAge(start.Add(time.Hour), 10*time.Minute).Len())
}

// Guards against a part that crashes servers and never reaches the other entries, because the sound parts of the same requests are
// cleared after each crash and took all reports: servers crashed with one part for 20 s, and no entry refused it.
func TestReportsOfSoundPartsDoNotDisplaceThatOfTheCause(t *testing.T) {
	const limit, soundParts = 32, 20
	tracker, now := suspect.PartTracker{}, time.Unix(1000, 0)
	for crash := range 10 {
		now = now.Add(200 * time.Millisecond)
		// The part 1 is in each request with which a server crashes, and the others are also in requests that are answered.
		for part := range suspect.PartFingerprint(soundParts) {
			tracker = tracker.WithCrash([]suspect.PartFingerprint{100 + part}, suspect.PartCrash{Server: fmt.Sprint("s", crash), Request: uint64(crash), At: now})
		}
		tracker = tracker.WithCrash([]suspect.PartFingerprint{1}, suspect.PartCrash{Server: fmt.Sprint("s", crash), Request: uint64(crash), At: now})
		if crash%2 == 1 {
			for part := range suspect.PartFingerprint(soundParts) {
				tracker = tracker.WithPartAnswered(100+part, now.Add(100*time.Millisecond))
			}
		}
		crashes, answers := 0, 0
		for _, report := range tracker.Reports(limit) {
			switch {
			case report.Part == 1:
				crashes++
			case report.Crash.Server == "":
				answers++
			}
		}
		assert.GreaterOrEqual(t, crashes, min(crash, 3), "after %d crashes", crash+1)
		if crash > 0 {
			assert.GreaterOrEqual(t, answers, limit/4, "after %d crashes", crash+1)
		}
	}
}

// Guards against a part that crashes server after server and is not refused, because the first servers ran several requests with
// it when they crashed: these filled the crashes that are kept, and no crash of another server was counted.
func TestRequestsOfOneServerDoNotDisplaceCrashesOfOthers(t *testing.T) {
	var crashes []suspect.PartCrash
	for server, requests := range []int{3, 5, 1, 1, 1, 1} {
		for request := range requests {
			at := start.Add(time.Duration(server)*time.Second + time.Duration(request)*time.Millisecond)
			crashes = append(crashes, suspect.PartCrash{Server: fmt.Sprint("s", server), Request: uint64(10*server + request), At: at})
		}
	}
	reversed := slices.Clone(crashes)
	slices.Reverse(reversed)
	for name, order := range map[string][]suspect.PartCrash{"as they happen": crashes, "the last one first": reversed} {
		tracker := suspect.PartTracker{}
		for _, crash := range order {
			tracker = tracker.WithCrash([]suspect.PartFingerprint{deadly}, crash)
		}
		tracker = withAnswers(tracker, 8, start.Add(8*time.Second), rare)
		_, count, found := tracker.Crashing([]suspect.PartFingerprint{deadly}, start.Add(10*time.Second), never)
		assert.True(t, found, name)
		assert.Equal(t, 6, count, name)
		other := withAnswers(suspect.PartTracker{}.WithReports(tracker.Reports(32), start.Add(8*time.Second)), 8, start.Add(8*time.Second), rare)
		_, count, found = other.Crashing([]suspect.PartFingerprint{deadly}, start.Add(10*time.Second), never)
		assert.True(t, found, "%s, at another entry", name)
		assert.Equal(t, 6, count, "%s, at another entry", name)
	}
}

// Guards against a part that is refused since many servers crash at once while requests with it are in flight, and against such a
// crash that keeps the part which crashes one server after the other from being found.
func TestCrashOfManyServersIsOnePieceOfEvidence(t *testing.T) {
	tracker := suspect.PartTracker{}
	for number := range 9 {
		crash := crashOf(number + 1)
		crash.At = start.Add(time.Duration(number) * 10 * time.Millisecond)
		tracker = tracker.WithCrash([]suspect.PartFingerprint{rare, deadly}, crash)
	}
	tracker = withAnswers(tracker, 8, start.Add(time.Second), common)
	_, _, found := tracker.Crashing([]suspect.PartFingerprint{rare, deadly}, start.Add(time.Minute), never)
	assert.False(t, found)
	for number := range 2 {
		tracker = tracker.WithCrash([]suspect.PartFingerprint{deadly}, crashOf(20+number))
	}
	part, _, _ := tracker.Crashing([]suspect.PartFingerprint{rare, deadly}, start.Add(time.Minute), never)
	assert.Equal(t, deadly, part)
}

// Guards against a rare sound part that is refused since requests with it were in flight at some of the servers that another part crashed.
func TestCrashesThatAnotherPartExplainsAreNoEvidence(t *testing.T) {
	tracker := suspect.PartTracker{}
	for number := range 6 {
		tracker = tracker.WithCrash([]suspect.PartFingerprint{deadly}, crashOf(number+1))
		if number%2 == 0 {
			crash := crashOf(number + 1)
			crash.Request += 100
			tracker = tracker.WithCrash([]suspect.PartFingerprint{rare}, crash)
		}
	}
	tracker = withAnswers(tracker, 8, start, common)
	assert.Equal(t, []suspect.PartFingerprint{deadly}, tracker.AllCrashing(start.Add(time.Minute), never))
}

package peer_test

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

// Guards against a crash report of a peer with a wrong clock, or of none, that quarantines a request for as long as its time is ahead,
// and against a completion that clears all crashes until then. Each entry would pass the report on.
func TestCrashReportsFromTheFutureAreMalformed(t *testing.T) {
	now := time.Now()
	fingerprint := suspect.Fingerprint{Account: "desk", Content: 7}
	for name, at := range map[string]time.Time{"a day": now.Add(24 * time.Hour), "two minutes": now.Add(2 * time.Minute), "the end of time": time.Unix(0, math.MaxInt64)} {
		for _, server := range []string{"r1", ""} {
			_, ok := peer.DecodeCrashReport(peer.EncodeCrashReport(suspect.Report{Fingerprint: fingerprint, Server: server, At: at}))
			assert.False(t, ok, "%s, server %q", name, server)
		}
	}
	_, ok := peer.DecodeCrashReport(peer.EncodeCrashReport(suspect.Report{Fingerprint: fingerprint, Server: "r1", At: now.Add(5 * time.Second)}))
	assert.True(t, ok, "clocks differ a little")
	item := peer.EncodeCrashReport(suspect.Report{Fingerprint: fingerprint, Server: "r1", At: now})
	item.Payload = append(item.Payload, 0)
	_, ok = peer.DecodeCrashReport(item)
	assert.False(t, ok, "bytes behind the time")
}

// Guards against a report of a peer that makes an entry compare servers by no number, avoid one until the report's time comes, or
// prefer one to all others.
func TestSlowdownReportsOutOfRangeAreMalformed(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name     string
		slowdown float64
		age      time.Duration
		ok       bool
	}{
		{"slow", 8, time.Second, true},
		{"fast", 0.5, 0, true},
		{"clocks that differ a little", 8, -time.Second, true},
		{"not a number", math.NaN(), 0, false},
		{"infinite", math.Inf(1), 0, false},
		{"negative", -8, 0, false},
		{"zero", 0, 0, false},
		{"beyond its bound", 1e12, 0, false},
		{"from the future", 8, -2 * time.Minute, false},
	}
	for _, c := range cases {
		_, ok := peer.DecodeSlowdownReport(peer.EncodeSlowdownReport("r1", backend.SlowdownReport{Slowdown: c.slowdown, Age: c.age}, now), now)
		assert.Equal(t, c.ok, ok, c.name)
	}
	item := peer.EncodeSlowdownReport("r1", backend.SlowdownReport{Slowdown: 8}, now)
	binary.BigEndian.PutUint64(item.Payload[8:], 1<<63)
	_, ok := peer.DecodeSlowdownReport(item, now)
	assert.False(t, ok, "a time before 1970")
}

// Guards against demands of peers whose sum is infinite, so that no entry gets a share of the limit.
func TestDemandsOutOfRangeAreMalformed(t *testing.T) {
	for demand, want := range map[float64]bool{0: true, 12.5: true, -1: false, math.Inf(1): false, math.MaxFloat64: false, 1e19: false} {
		_, ok := peer.DecodeDemand(peer.EncodeDemand("desk", demand))
		assert.Equal(t, want, ok, demand)
	}
	_, ok := peer.DecodeDemand(peer.EncodeDemand("desk", math.NaN()))
	assert.False(t, ok)
}

// Guards against a result that a peer did not send as such and that reports a booking as not run, or as answered.
func TestResultsOfPeersAreWhole(t *testing.T) {
	cases := []struct {
		name, body string
		ok         bool
	}{
		{"answer", `{"Answer":{"Status":201,"ContentType":"text/plain","Body":"bWFkZQ=="}}`, true},
		{"refusal", `{"Refusal":{"Reason":"KeyConflict","Detail":"another body"}}`, true},
		{"failure", `{"Failure":{"Ran":"Unknown","Cause":"Timeout"}}`, true},
		{"nothing", `{}`, false},
		{"null", `null`, false},
		{"two results", `{"Answer":{"Status":201},"Refusal":{"Reason":"KeyConflict"}}`, false},
		{"repeated result", `{"Refusal":{"Reason":"KeyConflict"},"Refusal":{"Reason":"QueueFull"}}`, false},
		{"refusal without a reason", `{"Refusal":{}}`, false},
		{"failure without whether it ran", `{"Failure":{"Cause":"Timeout"}}`, false},
		{"failure of an unknown kind", `{"Failure":{"Ran":"Perhaps","Cause":"Timeout"}}`, false},
		{"answer without a status", `{"Answer":{"Body":"bWFkZQ=="}}`, false},
		{"answer of a status that is none", `{"Answer":{"Status":101}}`, false},
		{"bytes behind the result", `{"Refusal":{"Reason":"KeyConflict"}}{`, false},
	}
	for _, c := range cases {
		_, err := peer.DecodeResult([]byte(c.body))
		assert.Equal(t, c.ok, err == nil, "%s: %v", c.name, err)
	}
}

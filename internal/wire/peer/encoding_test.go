package peer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

// Guards against results that change in encoding between entries, such as a refusal or a
// failure that no longer reports whether the order ran.
func TestResultsKeepTheirMeaning(t *testing.T) {
	for _, result := range []booking.Result{
		{Answer: call.Answer{Status: 201, ContentType: "text/plain", Body: []byte("made")}},
		{Err: &call.Refusal{Reason: call.ReasonKeyConflict, Detail: "another body", RetryAfter: time.Second}},
		{Err: &call.Failure{Ran: call.RanUnknown, Cause: call.CauseTimeout, Step: "booking", Peer: "orders-1"}},
	} {
		data, err := peer.EncodeResult(result)
		require.NoError(t, err)
		decoded, err := peer.DecodeResult(data)
		require.NoError(t, err)
		assert.Equal(t, result, decoded)
	}
	_, err := peer.EncodeResult(booking.Result{Err: errors.New("fault")})
	require.ErrorContains(t, err, "fault")
	_, err = peer.DecodeResult([]byte("{}"))
	require.ErrorContains(t, err, "neither")
}

// Guards against slowdown reports that arrive at a peer with another slowdown or age.
func TestSlowdownReportsKeepTheirAge(t *testing.T) {
	now := time.Now()
	item := peer.EncodeSlowdownReport("r1", backend.SlowdownReport{Slowdown: 8, Age: 2 * time.Second}, now)
	report, ok := peer.DecodeSlowdownReport(item, now.Add(time.Second))
	require.True(t, ok)
	assert.Equal(t, backend.SlowdownReport{Slowdown: 8, Age: 3 * time.Second}, report)
	assert.True(t, item.Expired(now.Add(backend.SlowdownReportTTL)))
	_, ok = peer.DecodeSlowdownReport(membership.Item{Payload: []byte("short")}, now)
	assert.False(t, ok)
}

// Guards against crash reports that change in encoding, so that a peer does not quarantine the request.
func TestSuspectReportsAreRecognised(t *testing.T) {
	now := time.Now()
	fingerprint := suspect.FingerprintOf(call.Request{Account: "desk", Completion: call.Completion{Prompt: "p"}})
	tracker := suspect.Tracker{}.WithCrash(fingerprint, "r1", now).WithCrash(fingerprint, "r2", now)
	var reports []suspect.Report
	for _, report := range tracker.Reports() {
		decoded, ok := peer.DecodeCrashReport(peer.EncodeCrashReport(report))
		require.True(t, ok)
		reports = append(reports, decoded)
	}
	assert.Equal(t, suspect.VerdictQuarantined, suspect.Tracker{}.WithReports(reports).Verdict(fingerprint, now))
	_, ok := peer.DecodeCrashReport(membership.Item{Key: "x/desk"})
	assert.False(t, ok)
}

package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/quota"
)

// Guards against an estimate that is no number, which admits every request, after requests without tokens.
func TestRequestsWithoutTokensLeaveTheEstimateANumber(t *testing.T) {
	bucket := quota.New(1000, 1000, 0).WithWindow(quota.Window{Length: window, Over: 0.1, Slack: 100})
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Millisecond {
		bucket, _ = bucket.WithRequest(0, 0, at)
	}
	estimate := bucket.Estimate(2 * time.Second)
	assert.Zero(t, estimate.AskedRate)
	assert.InDelta(t, 1, estimate.Fraction, 0)
	assert.InDelta(t, 1000, estimate.Level, 0)
}

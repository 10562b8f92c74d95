package duty_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// Guards against duties that concentrate on a few entries, and against owners that are
// not among the candidates.
func TestDutiesSpreadOverAllEntries(t *testing.T) {
	const entries, duties = 9, 900
	view := membership.View{}
	for i := range entries {
		view = view.WithMembers(membership.Member{Origin: membership.Origin{Name: fmt.Sprint("e", i)}, Condition: membership.ConditionAlive})
	}
	count := map[string]int{}
	for i := range duties {
		name := fmt.Sprint("orders/", i)
		owner, ok := duty.Owner(view, name)
		assert.True(t, ok)
		rank, ok := duty.Rank(view, name, owner.Name)
		assert.True(t, ok)
		assert.Zero(t, rank)
		count[owner.Name]++
	}
	for name, owned := range count {
		assert.InDelta(t, duties/entries, owned, duties/entries*0.4, name)
	}
	assert.Len(t, count, entries)
}

// Guards against a leader that acts after its lease may have expired at the key-value service.
func TestLeaderStopsBeforeItsLeaseExpires(t *testing.T) {
	const ttl = 10 * time.Second
	requestedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	lease := duty.NewLease(7, requestedAt, requestedAt.Add(2*time.Second), ttl)
	renewed := lease.WithRenewal(requestedAt.Add(5*time.Second), ttl)
	cases := []struct {
		name  string
		lease duty.Lease
		until time.Duration
	}{
		{"granted, counted from before the call", lease, 9 * time.Second},
		{"renewed", renewed, 14 * time.Second},
		{"earlier renewal answered late", renewed.WithRenewal(requestedAt.Add(time.Second), ttl), 14 * time.Second},
		{"released", renewed.WithRelease(requestedAt.Add(6 * time.Second)), 6 * time.Second},
		{"renewal answered after the release", renewed.WithRelease(requestedAt.Add(6*time.Second)).WithRenewal(requestedAt.Add(5900*time.Millisecond), ttl), 6 * time.Second},
	}
	for _, c := range cases {
		assert.True(t, c.lease.Held(requestedAt.Add(c.until-1)), c.name)
		assert.False(t, c.lease.Held(requestedAt.Add(c.until)), c.name)
		assert.Equal(t, int64(7), c.lease.FencingNumber())
	}
}

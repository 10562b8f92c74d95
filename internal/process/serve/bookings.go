package serve

import (
	"context"
	"fmt"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/vm"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

// newLedger returns the ledger of bookings over the shards' logs in the key-value service.
func newLedger(client *kv.Client, membership *membership) *booking.Ledger {
	return booking.New(booking.DefaultSettings(membership.holder()), leaders{membership}, func(shard int) booking.Appender {
		return kvlog.New(client, fmt.Sprintf("rosemaryspar/booking/%d", shard))
	})
}

// leaders tells which holders have ended.
//
// Orders are not forwarded yet: each entry appends to the shard's log itself,
// and the compare-and-swap of the log orders them.
type leaders struct {
	membership *membership
}

// Forward leaves the order to this entry.
func (leaders leaders) Forward(context.Context, int, booking.Order) (booking.Result, bool) {
	return booking.Result{}, false
}

// Gone reports whether a newer run of the holder's entry is known, or the entry is known to be gone.
func (leaders leaders) Gone(holder string) bool {
	name, _, _ := strings.Cut(holder, "@")
	member, ok := leaders.membership.state.Load().View().Member(name)
	return ok && (holderOf(member.Origin) != holder || member.Status() == vm.StatusGone)
}

// noLeader refuses forwarded orders, since this entry forwards none and leads nothing.
type noLeader struct{}

// Act returns [peer.ErrNotLeader].
func (noLeader) Act(context.Context, int, []byte) ([]byte, error) {
	return nil, peer.ErrNotLeader
}

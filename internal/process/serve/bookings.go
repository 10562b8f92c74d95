package serve

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/vm"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
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

// leaders reaches the leaders of shards by the membership.
type leaders struct {
	membership *membership
}

// Forward passes an order to the shard's leader.
//
// After any error the order goes on at this entry: the log tells whether the
// leader committed it.
func (leaders leaders) Forward(ctx context.Context, shard int, order booking.Order) (booking.Result, bool) {
	leader, ok := leaders.leader(shard)
	if !ok || leader.Name == leaders.membership.state.Load().Self().Name {
		return booking.Result{}, false
	}
	encoded, err := peer.EncodeOrder(order)
	if err != nil {
		return booking.Result{}, false
	}
	answer, err := leaders.membership.client.Forward(ctx, leader, shard, encoded)
	if err != nil {
		return booking.Result{}, false
	}
	result, err := peer.DecodeResult(answer)
	return result, err == nil
}

func (leaders leaders) leader(shard int) (vm.Member, bool) {
	return vm.Owner(leaders.membership.state.Load().View(), shard)
}

// Gone reports whether a newer run of the holder's entry is known, or the entry is known to be gone.
func (leaders leaders) Gone(holder string) bool {
	name, _, _ := strings.Cut(holder, "@")
	member, ok := leaders.membership.state.Load().View().Member(name)
	return ok && (holderOf(member.Origin) != holder || member.Status() == vm.StatusGone)
}

// shardLeader runs orders that other entries forward, through a path that starts at the identification.
type shardLeader struct {
	leaders leaders
	handler request.Handler
}

// Act runs an order if this entry leads the shard.
func (leader shardLeader) Act(ctx context.Context, shard int, data []byte) ([]byte, error) {
	current, ok := leader.leaders.leader(shard)
	if !ok || current.Name != leader.leaders.membership.state.Load().Self().Name {
		return nil, peer.ErrNotLeader
	}
	order, err := peer.DecodeOrder(data)
	if err != nil {
		return nil, err
	}
	exchange, err := leader.handler.Handle(ctx, request.Exchange{Request: order.Request})
	var refusal *call.Refusal
	if errors.As(err, &refusal) && refusal.Reason == call.ReasonStopping {
		// This entry stops, which is no reason for the one that accepted the order to refuse it.
		return nil, peer.ErrNotLeader
	}
	return peer.EncodeResult(booking.Result{Answer: exchange.Answer, Err: err})
}

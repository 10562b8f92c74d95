package serve

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

// newLedger returns the ledger of bookings over the shards' logs in the key-value service.
func newLedger(client *kv.Client, gossipNode *gossipNode) *booking.Ledger {
	return booking.New(booking.DefaultSettings(gossipNode.holder()), leaders{gossipNode}, func(shard int) booking.Log {
		return kvlog.New(client, fmt.Sprintf("rosemaryspar/booking/%d", shard))
	})
}

// leaders reaches the leaders of shards by the membership.
type leaders struct {
	membership *gossipNode
}

// Forward passes an order to the shard's leader and waits for its answer as long as the leader is alive.
//
// A leader that is frozen takes the order and does not answer; the exchange
// with peers finds it within seconds.
func (leaders leaders) Forward(ctx context.Context, shard int, order booking.Order) (booking.Result, booking.ForwardOutcome) {
	leader, ok := leaders.leader(shard)
	if !ok || leader.Name == leaders.membership.state.Load().Self().Name {
		return booking.Result{}, booking.ForwardNotAccepted
	}
	encoded, err := peer.EncodeOrder(order)
	if err != nil {
		return booking.Result{}, booking.ForwardNotAccepted
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go leaders.watch(ctx, leader, cancel)
	answer, err := leaders.membership.client.Forward(ctx, leader, shard, encoded)
	if errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrNotLeader) {
		return booking.Result{}, booking.ForwardNotAccepted
	}
	if err != nil {
		return booking.Result{}, booking.ForwardUncertain
	}
	result, err := peer.DecodeResult(answer)
	if err != nil {
		return booking.Result{}, booking.ForwardUncertain
	}
	return result, booking.ForwardAnswered
}

// watch calls lost when the leader is suspected or restarted; one that leaves still answers.
func (leaders leaders) watch(ctx context.Context, leader membership.Member, lost func()) {
	for pause.For(ctx, newsInterval) == nil {
		current, ok := leaders.membership.View().Member(leader.Name)
		if !ok || current.Condition != membership.ConditionAlive || current.Incarnation != leader.Incarnation {
			lost()
			return
		}
	}
}

func (leaders leaders) leader(shard int) (membership.Member, bool) {
	return membership.Owner(leaders.membership.state.Load().View(), shard)
}

// HasEnded reports whether a newer run of the holder's entry is known, or the entry is known to be gone.
func (leaders leaders) HasEnded(holder string) bool {
	name, _, _ := strings.Cut(holder, "@")
	member, ok := leaders.membership.state.Load().View().Member(name)
	return ok && (holderOf(member.Origin) != holder || member.Status() == membership.StatusGone)
}

// shardLeader runs orders that other entries forward, through a path that starts at the identification.
type shardLeader struct {
	leaders leaders
	handler request.Handler
}

// Execute runs an order if this entry leads the shard.
func (leader shardLeader) Execute(ctx context.Context, shard int, data []byte) ([]byte, error) {
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

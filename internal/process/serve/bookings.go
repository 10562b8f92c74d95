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

// newLedger returns a booking ledger whose shards each have a log in the key-value service.
func newLedger(client *kv.Client, gossipNode *gossipNode) *booking.Ledger {
	return booking.New(booking.DefaultSettings(gossipNode.holderID()), leaders{gossipNode}, func(shard int) booking.Log {
		return kvlog.New(client, fmt.Sprintf("rosemaryspar/booking/%d", shard))
	})
}

// leaders finds the leaders of the shards in the membership and forwards orders to them.
type leaders struct {
	gossipNode *gossipNode
}

// Forward sends an order to the shard's leader and waits for the answer while the leader is considered alive.
//
// A frozen leader receives the order but does not answer. Gossip detects such a
// leader within seconds, and the call is then cancelled.
func (leaders leaders) Forward(ctx context.Context, shard int, order booking.Order) (booking.Result, booking.ForwardOutcome) {
	leader, ok := leaders.leaderOf(shard)
	if !ok || leader.Name == leaders.gossipNode.state.Load().Self().Name {
		return booking.Result{}, booking.ForwardNotAccepted
	}
	encoded, err := peer.EncodeOrder(order)
	if err != nil {
		return booking.Result{}, booking.ForwardNotAccepted
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go leaders.watchLeader(ctx, leader, cancel)
	answer, err := leaders.gossipNode.client.Forward(ctx, leader, shard, encoded)
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

// watchLeader calls cancel when the leader is suspected, gone, restarted or no longer a member.
//
// A leaving leader still answers, so leaving does not cancel the call.
func (leaders leaders) watchLeader(ctx context.Context, leader membership.Member, cancel func()) {
	for pause.For(ctx, peerSyncInterval) == nil {
		current, ok := leaders.gossipNode.View().Member(leader.Name)
		if !ok || current.Condition != membership.ConditionAlive || current.Incarnation != leader.Incarnation {
			cancel()
			return
		}
	}
}

// leaderOf returns the entry that leads a shard, or false if no entry is live.
func (leaders leaders) leaderOf(shard int) (membership.Member, bool) {
	return membership.Owner(leaders.gossipNode.state.Load().View(), shard)
}

// HasEnded reports whether the process with the given holder ID has ended: whether its entry has restarted with
// another incarnation or has been declared gone. A process of an entry that is not a member counts as running.
func (leaders leaders) HasEnded(holderID string) bool {
	name, _, _ := strings.Cut(holderID, "@")
	member, ok := leaders.gossipNode.state.Load().View().Member(name)
	return ok && (holderIDOf(member.Origin) != holderID || member.Status() == membership.StatusGone)
}

// shardLeader executes the orders that other entries forward, through the request path for forwarded orders.
type shardLeader struct {
	leaders leaders
	handler request.Handler
}

// Execute executes an encoded order and returns the encoded result.
//
// It returns [peer.ErrNotLeader] if this entry does not lead the shard or is stopping.
func (leader shardLeader) Execute(ctx context.Context, shard int, data []byte) ([]byte, error) {
	current, ok := leader.leaders.leaderOf(shard)
	if !ok || current.Name != leader.leaders.gossipNode.state.Load().Self().Name {
		return nil, peer.ErrNotLeader
	}
	order, err := peer.DecodeOrder(data)
	if err != nil {
		return nil, err
	}
	exchange, err := leader.handler.Handle(ctx, request.Exchange{Request: order.Request})
	var refusal *call.Refusal
	if errors.As(err, &refusal) && refusal.Reason == call.ReasonStopping {
		// Only this entry is stopping. With ErrNotLeader the entry that accepted the order executes it
		// itself instead of refusing it.
		return nil, peer.ErrNotLeader
	}
	return peer.EncodeResult(booking.Result{Answer: exchange.Answer, Err: err})
}

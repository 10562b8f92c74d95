package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

// The steps in the errors of a client.
const (
	StepExchange    = "peer exchange"
	StepConfigSince = "peer config"
	StepForward     = "peer forward"
)

var (
	// ErrUnreachable means that no connection was established, so the peer did not receive the call.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrNotLeader means that the peer does not lead the shard and did not act on the order.
	ErrNotLeader = errors.New("peer does not lead the shard")
)

// Client calls other entries at their peer addresses; several threads may use it.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{http: httpclient.NewHTTP2(dialTimeout, idleTimeout, nil)}
}

// Close closes the idle connections; calls in progress continue.
func (client *Client) Close() {
	client.http.CloseIdleConnections()
}

// Exchange sends an offer to a peer and returns the reply; it fails after 1 s.
func (client *Client) Exchange(ctx context.Context, peer membership.Member, offer membership.Offer) (membership.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := client.service(peer.Address).Exchange(ctx, connect.NewRequest(EncodeOffer(offer)))
	if err != nil {
		return membership.Reply{}, callError(err, StepExchange, peer.Address)
	}
	reply, err := DecodeReply(response.Msg)
	return reply, fault.Wrap(err, StepExchange, peer.Address)
}

// Since returns log entries of a peer after a revision, oldest first; one response might not hold all of them.
func (client *Client) Since(ctx context.Context, peer membership.Member, revision int64) ([]control.LogEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	request := &ConfigSinceRequest{Revision: revision}
	response, err := client.service(peer.Address).ConfigSince(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, callError(err, StepConfigSince, peer.Address)
	}
	entries := make([]control.LogEntry, 0, len(response.Msg.GetEntries()))
	for _, entry := range response.Msg.GetEntries() {
		entries = append(entries, control.LogEntry{Number: entry.GetNumber(), Checkpoint: entry.GetCheckpoint(), Data: entry.GetData()})
	}
	return entries, nil
}

// Forward sends an order to the peer that leads its shard and returns the answer.
//
// After any error other than [ErrUnreachable] and [ErrNotLeader], the order may
// have taken effect.
func (client *Client) Forward(ctx context.Context, peer membership.Member, shard int, order []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	request := &ForwardRequest{Shard: int32(shard), Order: order}
	response, err := client.service(peer.Address).Forward(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, callError(err, StepForward, peer.Address)
	}
	return response.Msg.GetAnswer(), nil
}

func (client *Client) service(address string) PeerServiceClient {
	return NewPeerServiceClient(client.http, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
		// Half of a digest consists of hash values, which do not compress.
		connect.WithAcceptCompression("gzip", nil, nil))
}

// callError adds the step and the peer to an error, and wraps ErrUnreachable or ErrNotLeader
// where the error proves that the peer did not act.
func callError(err error, step, address string) error {
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		err = fmt.Errorf("%w: %w", ErrUnreachable, err)
	case connect.CodeOf(err) == connect.CodeFailedPrecondition:
		err = fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	return fault.Wrap(err, step, address)
}

package share

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

// StepShare names the exchange with a peer in errors.
const StepShare = "share"

const (
	// dialTimeout is short, since a VM that is gone answers nothing at all.
	dialTimeout = 400 * time.Millisecond
	// pingAfter and pingTimeout find connections that went silent.
	pingAfter   = time.Second
	pingTimeout = 500 * time.Millisecond
	// idleTimeout closes connections to peers that are asked seldom.
	idleTimeout = 15 * time.Second
	// maxMessageBytes bounds a message, which may hold a whole configuration.
	maxMessageBytes = 8 << 20
)

// Client calls other entries by their peer addresses.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	pings := &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	return &Client{http: httpclient.NewHTTP2(dialTimeout, idleTimeout, pings)}
}

// Exchange passes a statement to a peer and returns its reply.
func (client *Client) Exchange(ctx context.Context, address string, statement share.StateMessage) (share.Reply, error) {
	service := NewShareServiceClient(client.http, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression("gzip", nil, nil))
	response, err := service.Share(ctx, connect.NewRequest(encodeStatement(statement)))
	if err != nil {
		return share.Reply{}, fault.Wrap(err, StepShare, address)
	}
	return decodeReply(response.Msg), nil
}

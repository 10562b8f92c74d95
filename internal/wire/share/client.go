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

// StepShare is the step of an exchange with a peer in errors.
const StepShare = "share"

const (
	// dialTimeout is short because a VM that no longer exists does not even refuse connections, so that
	// an attempt to connect to it takes the whole time.
	dialTimeout = 400 * time.Millisecond
	// silenceBeforePing and pingTimeout detect connections that the network dropped without a reset.
	silenceBeforePing = time.Second
	pingTimeout       = 500 * time.Millisecond
	// idleTimeout closes connections to peers that the client rarely calls.
	idleTimeout = 15 * time.Second
	// maxMessageBytes bounds a message, which may contain a whole configuration.
	maxMessageBytes = 8 << 20
)

// Client calls other entries at their peer addresses; several threads may use it.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	pings := &http.HTTP2Config{SendPingTimeout: silenceBeforePing, PingTimeout: pingTimeout}
	return &Client{http: httpclient.NewHTTP2(dialTimeout, idleTimeout, pings)}
}

// Exchange sends a state message to the peer at address ("IP:port") and returns the reply.
//
// Errors carry [StepShare] and the address (package fault).
func (client *Client) Exchange(ctx context.Context, address string, message share.StateMessage) (share.Reply, error) {
	service := NewShareServiceClient(client.http, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression("gzip", nil, nil))
	response, err := service.Share(ctx, connect.NewRequest(encodeStateMessage(message)))
	if err != nil {
		return share.Reply{}, fault.Wrap(err, StepShare, address)
	}
	if err := checkResponse(response.Msg); err != nil {
		return share.Reply{}, fault.Wrap(err, StepShare, address)
	}
	return decodeReply(response.Msg), nil
}

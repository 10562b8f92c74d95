package httpclient

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// Connections says whether connections are used for several requests.
type Connections string

// The ways to use connections.
const (
	// Reuse keeps connections open, for work that may be sent again.
	Reuse Connections = "Reuse"
	// Fresh opens a connection for each request. A server may close a kept
	// connection at the moment a request is sent on it, which leaves it unknown
	// whether the request ran; work that must not be repeated cannot afford that.
	Fresh Connections = "Fresh"
)

const (
	// maxConnections bounds the connections to one backend server.
	maxConnections = 1024
	// maxIdle is kept below the idle timeouts common among servers, so that
	// this side closes an idle connection first.
	maxIdle = 10 * time.Second
)

// Client is an HTTP client; several threads may use it.
type Client struct {
	hertz *client.Client
}

// New returns a client that gives up connecting after dialTimeout.
func New(dialTimeout time.Duration, connections Connections) (*Client, error) {
	hertz, err := client.NewClient(
		client.WithDialer(dialer{standard.NewDialer()}),
		client.WithDialTimeout(dialTimeout),
		client.WithResponseBodyStream(true),
		client.WithKeepAlive(connections == Reuse),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithMaxIdleConnDuration(maxIdle),
		client.WithNoDefaultUserAgentHeader(true),
	)
	if err != nil {
		return nil, err
	}
	return &Client{hertz: hertz}, nil
}

// Do sends a request and returns once the header of the answer is there or the context has ended.
//
// After an error the response must not be used: an abandoned call may still
// write to it until the request's own timeout ends it.
func (client *Client) Do(ctx context.Context, outgoing *protocol.Request, incoming *protocol.Response) error {
	if deadline, ok := ctx.Deadline(); ok {
		outgoing.SetOptions(config.WithRequestTimeout(time.Until(deadline)))
	}
	done := make(chan error, 1)
	go func() { done <- client.hertz.Do(ctx, outgoing, incoming) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		go discard(done, incoming)
		return ctx.Err()
	}
}

// discard closes the answer of an abandoned call, which cancels its work at the server.
func discard(done <-chan error, incoming *protocol.Response) {
	if <-done == nil {
		_ = incoming.CloseBodyStream()
	}
}

// dialer marks the errors of connecting.
type dialer struct {
	network.Dialer
}

// DialConnection connects and returns a [*connectError] when that fails.
func (dialer dialer) DialConnection(networkName, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	conn, err := dialer.Dialer.DialConnection(networkName, address, timeout, tlsConfig)
	if err != nil {
		return nil, &connectError{err}
	}
	return conn, nil
}

// DialTimeout connects and returns a [*connectError] when that fails.
func (dialer dialer) DialTimeout(networkName, address string, timeout time.Duration, tlsConfig *tls.Config) (net.Conn, error) {
	conn, err := dialer.Dialer.DialTimeout(networkName, address, timeout, tlsConfig)
	if err != nil {
		return nil, &connectError{err}
	}
	return conn, nil
}

type connectError struct {
	cause error
}

func (err *connectError) Error() string { return err.cause.Error() }

func (err *connectError) Unwrap() error { return err.cause }

package httpclient

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"
)

// ConnectionPolicy says whether connections are used for several requests.
type ConnectionPolicy string

// The ways to use connections.
const (
	// Reuse keeps connections open, for work that may be sent again.
	Reuse ConnectionPolicy = "Reuse"
	// Fresh opens a connection for each request. A server may close a kept
	// connection at the moment a request is sent on it, which leaves it unknown
	// whether the request ran; work that must not be repeated cannot afford that.
	// Nor does net/http then send a request with an idempotency key again by itself.
	Fresh ConnectionPolicy = "Fresh"
)

const (
	// maxIdlePerServer bounds the idle connections to one backend server.
	maxIdlePerServer = 32
	// maxIdle is kept below the idle timeouts common among servers, so that
	// this side closes an idle connection first.
	maxIdle = 10 * time.Second
)

// Client is an HTTP client; several threads may use it.
type Client struct {
	http *http.Client
}

// CloseIdle closes the connections that no call uses.
func (client *Client) CloseIdle() { client.http.CloseIdleConnections() }

// Call is one request to a backend server.
type Call struct {
	Method string
	// URL is absolute.
	URL    string
	Header http.Header
	Body   []byte
}

// New returns a client that gives up connecting after dialTimeout.
func New(dialTimeout time.Duration, connections ConnectionPolicy) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &connectError{err}
			}
			return conn, nil
		},
		DisableKeepAlives:   connections == Fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     maxIdle,
	}
	return &Client{http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends a call and returns once the header of the answer is there.
//
// The end of the context cancels the call, also while the body is read.
func (client *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	outgoing, err := http.NewRequestWithContext(ctx, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &connectError{err}
	}
	outgoing.Header = call.Header
	return client.http.Do(outgoing)
}

// connectError marks the errors that arise before anything is sent.
type connectError struct {
	cause error
}

func (err *connectError) Error() string { return err.cause.Error() }

func (err *connectError) Unwrap() error { return err.cause }

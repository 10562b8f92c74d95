package httpclient

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// ConnectionPolicy determines whether a connection is reused for several requests.
type ConnectionPolicy string

// The connection policies.
const (
	// Reuse keeps connections open for later requests. It suits work that may be sent again. Calls with an id use only
	// connections on which the server repeats the id, so that a late second copy of an answer is not taken for the next
	// one.
	Reuse ConnectionPolicy = "Reuse"
	// Fresh opens a new connection for each request, for work that must not run twice.
	// A server may close an idle connection at the moment a request is sent on it; it
	// is then unknown whether the request ran. Without idle connections, net/http also
	// does not resend requests with an idempotency key by itself.
	Fresh ConnectionPolicy = "Fresh"
)

const (
	// maxIdlePerServer bounds the idle connections to one backend server.
	maxIdlePerServer = 32
	// idleTimeout is below the usual idle timeouts of servers, so that the client closes
	// an idle connection first.
	idleTimeout = 10 * time.Second
	// maxHeaderBytes bounds the head of an answer. A faulty server may send one without end, which would be buffered up
	// to the default of net/http, 10 MB for each call.
	maxHeaderBytes = 256 << 10
)

// Client is an HTTP client for calls to backend servers; it is safe for concurrent use.
type Client struct {
	http *http.Client
	// echoing are the servers on whose connections the answers to calls with an id can be told apart.
	echoing *rcu.Cell[echoingServers]
}

// CloseIdle closes the connections that are not in use by a call.
func (client *Client) CloseIdle() { client.http.CloseIdleConnections() }

// Call is one request to a backend server.
type Call struct {
	Method string
	// URL is the absolute URL, including scheme and host.
	URL    string
	Header http.Header
	Body   []byte
	// ID is sent in the field X-Request-Id, which the server may repeat in its answer; empty for none.
	ID string
}

// New returns a client whose attempts to connect fail after dialTimeout.
//
// The client does not follow redirects and does not request compression.
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
		DisableKeepAlives:      connections == Fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		echoing: rcu.New(echoingServers{}),
	}
}

// Do sends a call and returns when the header of the answer has arrived; the caller must close the body.
//
// The end of ctx cancels the call, also while the body is being read. [ClassifyError]
// classifies the errors of Do and of reading the body, which is a [MalformedError] if the body's framing is garbage.
func (client *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	upload := newUpload()
	request, err := http.NewRequestWithContext(upload.withTrace(ctx), call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &connectError{err}
	}
	if call.Header != nil {
		request.Header = call.Header
	}
	response, err := client.send(request, call.ID)
	if err != nil {
		return nil, err
	}
	read := &body{ReadCloser: response.Body, callErr: ctx.Err}
	if endsWithConnection(response) {
		read.ended = func() error { return upload.await(ctx) }
	}
	response.Body = read
	return response, nil
}

// send sends a request, with an id unless that is empty.
func (client *Client) send(request *http.Request, id string) (*http.Response, error) {
	if id == "" {
		return client.http.Do(request)
	}
	return client.doWithID(request, id)
}

// connectError wraps an error that occurred before anything was sent, so that the work did not run.
type connectError struct {
	cause error
}

func (err *connectError) Error() string { return err.cause.Error() }

func (err *connectError) Unwrap() error { return err.cause }

package kv

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	hertz "github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"golang.org/x/time/rate"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
)

const stepCall = "kv"

// Settings describe how a client reaches the service and how much it may ask of it.
type Settings struct {
	// Address is the service's IP address and port.
	Address string
	// Timeout bounds each call; waiting for the budget counts towards it.
	Timeout time.Duration
	// Concurrency bounds the calls at once, watches aside.
	Concurrency int
	// CallsPerSecond is the budget of calls, reads and writes together.
	CallsPerSecond float64
	// Burst is how many calls may be made at once after a quiet time.
	Burst int
	// ReadAttempts is how often a read is tried before it fails.
	ReadAttempts int
	// Backoff is the wait before the second attempt; it doubles up to BackoffLimit.
	Backoff      time.Duration
	BackoffLimit time.Duration
	// WatchPeriod is how long one watch stays open before it is made anew,
	// which bounds the time for which a connection that died silently goes unnoticed.
	WatchPeriod time.Duration
}

// DefaultSettings returns the settings of an entry for the service at address.
//
// The service sustains about 2,000 reads a second, so 420 entries may make
// 4 calls a second each. The few entries that lead booking shards need more:
// two calls for each log entry that they write.
func DefaultSettings(address string) Settings {
	return Settings{
		Address: address, Timeout: 2 * time.Second, Concurrency: 8, CallsPerSecond: 4, Burst: 40,
		ReadAttempts: 3, Backoff: 50 * time.Millisecond, BackoffLimit: 5 * time.Second, WatchPeriod: 30 * time.Second,
	}
}

// Client makes calls to the service.
type Client struct {
	settings Settings
	calls    *hertz.Client
	watches  *hertz.Client
	slots    chan struct{}
	budget   *rate.Limiter
}

// New returns a client; it connects when the first call is made.
func New(settings Settings) (*Client, error) {
	calls, err := hertz.NewClient(hertz.WithDialer(standard.NewDialer()), hertz.WithDialTimeout(settings.Timeout))
	if err != nil {
		return nil, fault.Wrap(err, stepCall, settings.Address)
	}
	watches, err := hertz.NewClient(hertz.WithDialer(standard.NewDialer()), hertz.WithDialTimeout(settings.Timeout),
		hertz.WithResponseBodyStream(true), hertz.WithKeepAlive(false))
	if err != nil {
		return nil, fault.Wrap(err, stepCall, settings.Address)
	}
	return &Client{
		settings: settings, calls: calls, watches: watches,
		slots:  make(chan struct{}, max(1, settings.Concurrency)),
		budget: rate.NewLimiter(rate.Limit(settings.CallsPerSecond), max(1, settings.Burst)),
	}, nil
}

// Close closes idle connections.
func (client *Client) Close() {
	client.calls.CloseIdleConnections()
	client.watches.CloseIdleConnections()
}

// read makes a call that changes nothing, again with backoff while the service is out.
func (client *Client) read(ctx context.Context, path string, request, response any) error {
	for attempt := 1; ; attempt++ {
		err := client.call(ctx, path, request, response)
		var out *OutError
		if !errors.As(err, &out) || attempt >= client.settings.ReadAttempts {
			return err
		}
		if client.wait(ctx, attempt) != nil {
			return err
		}
	}
}

// wait sleeps for the backoff of an attempt, with full jitter so that entries do not retry in step.
func (client *Client) wait(ctx context.Context, attempt int) error {
	limit := client.settings.BackoffLimit
	if doubled := client.settings.Backoff << min(attempt-1, 16); doubled < limit {
		limit = doubled
	}
	return pause.For(ctx, rand.N(limit+1))
}

// call makes one call within the budget, the bound of calls at once, and the timeout.
func (client *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, client.settings.Timeout)
	defer cancel()
	select {
	case client.slots <- struct{}{}:
		defer func() { <-client.slots }()
	case <-ctx.Done():
		return client.notSent(ctx.Err())
	}
	if err := client.budget.Wait(ctx); err != nil {
		return client.notSent(err)
	}
	sent, reply := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(sent)
	defer protocol.ReleaseResponse(reply)
	if err := client.prepare(ctx, sent, path, request); err != nil {
		return err
	}
	if err := client.calls.Do(ctx, sent, reply); err != nil {
		return client.unanswered(err)
	}
	if reply.StatusCode() != 200 {
		return client.refused(reply)
	}
	if err := json.Unmarshal(reply.Body(), response); err != nil {
		return client.unanswered(err)
	}
	return nil
}

func (client *Client) prepare(ctx context.Context, sent *protocol.Request, path string, request any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fault.Wrap(err, stepCall, client.settings.Address)
	}
	deadline, ok := ctx.Deadline()
	if ok {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return client.notSent(context.DeadlineExceeded)
		}
		sent.SetOptions(config.WithRequestTimeout(remaining), config.WithReadTimeout(remaining))
	}
	sent.SetMethod("POST")
	sent.SetRequestURI("http://" + client.settings.Address + path)
	sent.Header.SetContentTypeBytes([]byte("application/json"))
	sent.SetBody(body)
	return nil
}

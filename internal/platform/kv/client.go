package kv

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

const stepCall = "kv"

// Settings describe how a client reaches the service and how much it may ask of it.
type Settings struct {
	// Addresses are the IP addresses and ports of the service, at least one; a
	// call that finds no answer at one makes the next call go to another.
	Addresses []string
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

// DefaultSettings returns the settings of an entry for the service at the addresses.
//
// The service sustains about 2,000 reads a second, so 420 entries may make
// 4 calls a second each. The few entries that lead booking shards need more:
// two calls for each log entry that they write.
func DefaultSettings(addresses ...string) Settings {
	return Settings{
		Addresses: addresses, Timeout: 2 * time.Second, Concurrency: 8, CallsPerSecond: 4, Burst: 40,
		ReadAttempts: 3, Backoff: 50 * time.Millisecond, BackoffLimit: 5 * time.Second, WatchPeriod: 30 * time.Second,
	}
}

// Client makes calls to the service.
type Client struct {
	settings Settings
	calls    *httpclient.Client
	watches  *httpclient.Client
	slots    chan struct{}
	budget   *rate.Limiter
	// failures counts the calls without an answer, each of which moves on to the next address.
	failures atomic.Uint64
}

// New returns a client; it connects when the first call is made.
func New(settings Settings) *Client {
	return &Client{
		settings: settings,
		calls:    httpclient.New(settings.Timeout, httpclient.Reuse),
		watches:  httpclient.New(settings.Timeout, httpclient.Fresh),
		slots:    make(chan struct{}, max(1, settings.Concurrency)),
		budget:   rate.NewLimiter(rate.Limit(settings.CallsPerSecond), max(1, settings.Burst)),
	}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.calls.CloseIdle()
	client.watches.CloseIdle()
}

// address returns the address that calls go to now.
func (client *Client) address() string {
	return client.settings.Addresses[client.failures.Load()%uint64(len(client.settings.Addresses))]
}

// read makes a call that changes nothing, again with backoff while the service is out.
func (client *Client) read(ctx context.Context, path string, request, response any) error {
	for attempt := 1; ; attempt++ {
		err := client.call(ctx, path, request, response)
		var out *UnansweredError
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
	reply, err := client.post(ctx, client.calls, path, request)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return client.refused(reply)
	}
	if err := json.NewDecoder(reply.Body).Decode(response); err != nil {
		return client.unanswered(err)
	}
	return nil
}

// post sends a message and returns once the header of the answer is there.
func (client *Client) post(ctx context.Context, through *httpclient.Client, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(err, stepCall, client.address())
	}
	reply, err := through.Do(ctx, httpclient.Call{
		Method: http.MethodPost,
		URL:    "http://" + client.address() + path,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
	})
	if err != nil {
		return nil, client.unanswered(err)
	}
	return reply, nil
}

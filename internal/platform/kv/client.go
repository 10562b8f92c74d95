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

// Settings configure how a client reaches the service, and limit its calls.
type Settings struct {
	// Addresses are the IP addresses and ports of the service, at least one. After
	// a call without an answer, the next call goes to the next address.
	Addresses []string
	// Timeout bounds each call, including the time that it waits for the rate limit, but not the time that a long answer
	// takes.
	Timeout time.Duration
	// Concurrency is the maximum number of concurrent calls, not counting watches.
	Concurrency int
	// CallsPerSecond is the rate limit for reads and writes together.
	CallsPerSecond float64
	// Burst is the number of calls that may be made at once after a time without calls.
	Burst int
	// ReadAttempts is the maximum number of attempts of a read.
	ReadAttempts int
	// Backoff bounds the wait before the second attempt. The bound doubles with each
	// attempt, up to BackoffLimit.
	Backoff      time.Duration
	BackoffLimit time.Duration
	// WatchPeriod is the time after which the client closes a watch and opens a new one. It
	// bounds the time for which a broken connection that was never closed goes unnoticed.
	WatchPeriod time.Duration
}

// DefaultSettings returns the settings of an entry for the service at the addresses.
//
// The service sustains about 2,000 reads per second, so each of 420 entries may make
// 4 calls per second. The few entries that lead booking shards need a higher rate,
// since they make two calls for each log entry that they write.
func DefaultSettings(addresses ...string) Settings {
	return Settings{
		Addresses: addresses, Timeout: 2 * time.Second, Concurrency: 8, CallsPerSecond: 4, Burst: 40,
		ReadAttempts: 3, Backoff: 50 * time.Millisecond, BackoffLimit: 5 * time.Second, WatchPeriod: 30 * time.Second,
	}
}

// Client is a client of the service; several threads may use it.
type Client struct {
	settings Settings
	calls    *httpclient.Client
	watches  *httpclient.Client
	// semaphore has one element for each call in progress.
	semaphore chan struct{}
	limiter   *rate.Limiter
	// failures counts the calls without an answer; after each of them, calls go to the next address.
	failures atomic.Uint64
}

// New returns a client, which connects at its first call.
func New(settings Settings) *Client {
	return &Client{
		settings:  settings,
		calls:     httpclient.New(settings.Timeout, httpclient.Reuse),
		watches:   httpclient.New(settings.Timeout, httpclient.Fresh),
		semaphore: make(chan struct{}, max(1, settings.Concurrency)),
		limiter:   rate.NewLimiter(rate.Limit(settings.CallsPerSecond), max(1, settings.Burst)),
	}
}

// Close closes idle connections. Calls in progress continue.
func (client *Client) Close() {
	client.calls.CloseIdle()
	client.watches.CloseIdle()
}

// address returns the address to which calls currently go.
func (client *Client) address() string {
	return client.settings.Addresses[client.failures.Load()%uint64(len(client.settings.Addresses))]
}

// readRange reads a range, and retries the call with backoff while the service does not answer.
func (client *Client) readRange(ctx context.Context, request rangeRequest) (rangeResponse, error) {
	for attempt := 1; ; attempt++ {
		// Each attempt has its own response, since a malformed one may be decoded in part.
		response := rangeResponse{request: request}
		err := client.call(ctx, "/v3/kv/range", request, &response)
		var unanswered *UnansweredError
		if !errors.As(err, &unanswered) || attempt >= client.settings.ReadAttempts {
			return response, err
		}
		if client.backOff(ctx, attempt) != nil {
			return response, err
		}
	}
}

// backOff sleeps for the backoff after an attempt, counted from 1, with full jitter so that
// entries do not retry at the same time. It returns the error of ctx if that ends first.
func (client *Client) backOff(ctx context.Context, attempt int) error {
	limit := client.settings.BackoffLimit
	if doubled := client.settings.Backoff << min(attempt-1, 16); doubled < limit {
		limit = doubled
	}
	return pause.For(ctx, rand.N(limit+1))
}

// call makes one call within the limit of concurrent calls, the rate limit and the timeout, which a long answer extends. A body that is
// no answer to the call counts as no answer.
func (client *Client) call(ctx context.Context, path string, request any, response answer) error {
	end := time.Now().Add(client.settings.Timeout)
	waitCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	select {
	case client.semaphore <- struct{}{}:
		defer func() { <-client.semaphore }()
	case <-waitCtx.Done():
		return client.notSentError(waitCtx.Err())
	}
	if err := client.limiter.Wait(waitCtx); err != nil {
		return client.notSentError(err)
	}
	ctx, transfer := httpclient.StartTransfer(ctx, time.Until(end))
	defer transfer.Stop()
	reply, err := client.post(ctx, client.calls, path, request)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return client.responseError(reply)
	}
	if err := decodeAnswer(newBoundedReader(transfer.Reader(reply.Body)), response); err != nil {
		return client.unansweredError(err)
	}
	return nil
}

// post sends a message and returns when the header of the response has arrived.
func (client *Client) post(ctx context.Context, httpClient *httpclient.Client, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(err, stepCall, client.address())
	}
	reply, err := httpClient.Do(ctx, httpclient.Call{
		Method: http.MethodPost,
		URL:    "http://" + client.address() + path,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
	})
	if err != nil {
		return nil, client.unansweredError(err)
	}
	return reply, nil
}

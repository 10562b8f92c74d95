package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

const (
	// stepOperator is the step of a call to an entry in errors.
	stepOperator = "operator"
	// dialTimeout bounds connecting to an entry.
	dialTimeout = 2 * time.Second
	// callTimeout is longer than an entry may take for a change, which defaultCommitTimeout bounds.
	callTimeout = 2 * defaultCommitTimeout
)

// Client calls the front end of one entry; several threads may use it.
//
// Its methods return a [*Refusal] when the entry answers with another status than 200.
type Client struct {
	http    *httpclient.Client
	address string
	key     string
}

// NewClient returns a client that calls the entry at address ("IP:port") with an operator's key.
func NewClient(address, key string) *Client {
	return &Client{http: httpclient.New(dialTimeout, httpclient.Fresh), address: address, key: key}
}

// Config returns the current configuration of the entry.
func (client *Client) Config(ctx context.Context) (Configuration, error) {
	return roundTrip[Configuration](ctx, client, http.MethodGet, "/config", nil)
}

// Commit commits a change in the JSON format of package document.
func (client *Client) Commit(ctx context.Context, body []byte) (pipeconfig.Receipt, error) {
	return roundTrip[pipeconfig.Receipt](ctx, client, http.MethodPost, "/config", body)
}

// History returns the first page of the accepted changes after a revision.
func (client *Client) History(ctx context.Context, after int64) (Changelog, error) {
	return roundTrip[Changelog](ctx, client, http.MethodGet, "/config/history?after="+strconv.FormatInt(after, 10), nil)
}

// Effects returns the first page of the effects of the accepted changes after a revision.
func (client *Client) Effects(ctx context.Context, after int64) (Effects, error) {
	return roundTrip[Effects](ctx, client, http.MethodGet, "/config/changes?after="+strconv.FormatInt(after, 10), nil)
}

// Entries returns the current configuration revision of each entry.
func (client *Client) Entries(ctx context.Context) (EntryList, error) {
	return roundTrip[EntryList](ctx, client, http.MethodGet, "/entries", nil)
}

// Backends returns the backend servers with the entry's observations of them.
func (client *Client) Backends(ctx context.Context) (BackendList, error) {
	return roundTrip[BackendList](ctx, client, http.MethodGet, "/backends", nil)
}

// Select returns references to the documents that a selector matches in the current configuration.
func (client *Client) Select(ctx context.Context, selector string) (Selection, error) {
	body, err := json.Marshal(struct{ Selector string }{selector})
	if err != nil {
		return Selection{}, err
	}
	return roundTrip[Selection](ctx, client, http.MethodPost, "/select", body)
}

// Quarantine returns the requests that the entry suspects or has quarantined.
func (client *Client) Quarantine(ctx context.Context) (QuarantineList, error) {
	return roundTrip[QuarantineList](ctx, client, http.MethodGet, "/quarantine", nil)
}

// Release discards the crashes of a request so far and returns the requests that are still listed.
func (client *Client) Release(ctx context.Context, id string) (QuarantineList, error) {
	body, err := json.Marshal(struct{ ID string }{id})
	if err != nil {
		return QuarantineList{}, err
	}
	return roundTrip[QuarantineList](ctx, client, http.MethodPost, "/quarantine/release", body)
}

// Explain returns the decisions of the entry about the recent requests with an id.
func (client *Client) Explain(ctx context.Context, id string) (Explanations, error) {
	return roundTrip[Explanations](ctx, client, http.MethodGet, "/requests/"+url.PathEscape(id), nil)
}

// roundTrip makes a call and decodes the JSON body of the answer.
func roundTrip[T any](ctx context.Context, client *Client, method, path string, body []byte) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.http.Do(ctx, httpclient.Call{
		Method: method,
		URL:    "http://" + client.address + path,
		Header: http.Header{"Authorization": {"Bearer " + client.key}, "Content-Type": {"application/json"}},
		Body:   body,
	})
	if err != nil {
		return answer, fault.Wrap(err, stepOperator, client.address)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, fault.Wrap(err, stepOperator, client.address)
	}
	if status := response.StatusCode; status != http.StatusOK {
		refusal := &Refusal{Status: status}
		if err := json.Unmarshal(text, refusal); err != nil || refusal.Message == "" {
			refusal.Message = fmt.Sprintf("status %d: %s", status, text)
		}
		return answer, refusal
	}
	return answer, fault.Wrap(json.Unmarshal(text, &answer), stepOperator, client.address)
}

package kv_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// startScripted returns a client of a service that answers each call with the next body, and repeats the last one.
func startScripted(t *testing.T, bodies ...string) *kv.Client {
	t.Helper()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(bodies[min(int(calls.Add(1)), len(bodies))-1]))
	}))
	settings := kv.DefaultSettings(server.Listener.Addr().String())
	settings.CallsPerSecond, settings.Backoff, settings.ReadAttempts = 1000, time.Millisecond, len(bodies)
	client := kv.New(settings)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

// Guards against an answer that is not one to its call and counts as one: a write that may have taken effect is reported as rejected, a
// key as absent, and a lease without a lifetime ends the process when it is renewed.
func TestAnswersThatAreNotToTheCallAreNoAnswers(t *testing.T) {
	put := func(ctx context.Context, client *kv.Client) error {
		_, err := client.Put(ctx, "a", nil, 4)
		return err
	}
	create := func(ctx context.Context, client *kv.Client) error {
		_, err := client.Create(ctx, "a", nil)
		return err
	}
	get := func(ctx context.Context, client *kv.Client) error {
		_, _, err := client.Get(ctx, "a")
		return err
	}
	list := func(ctx context.Context, client *kv.Client) error {
		_, err := client.Range(ctx, "a/", "a/3", 2)
		return err
	}
	grant := func(ctx context.Context, client *kv.Client) error {
		_, err := client.Grant(ctx, time.Minute)
		return err
	}
	remove := func(ctx context.Context, client *kv.Client) error { return client.Delete(ctx, "a", "") }
	cases := []struct {
		name, body string
		call       func(ctx context.Context, client *kv.Client) error
	}{
		{"write, empty object", `{}`, put},
		{"write, null", `null`, put},
		{"write, error with status 200", `{"error":"x","code":14,"message":"x"}`, put},
		{"write, no revision", `{"succeeded":true}`, put},
		{"write, revision below the one replaced", `{"header":{"revision":"4"},"succeeded":true}`, put},
		{"write, negative revision", `{"header":{"revision":"-8"},"succeeded":true}`, create},
		{"write, trailing bytes", `{"header":{"revision":"8"},"succeeded":true}{`, create},
		{"write, rejected without the current item", `{"header":{"revision":"8"}}`, create},
		{"write, rejected although the key is absent", `{"header":{"revision":"8"},"responses":[{"response_range":{}}]}`, create},
		{"write, rejected for another key", `{"header":{"revision":"8"},"responses":[{"response_range":{"kvs":[{"key":"Yg==","mod_revision":"3"}]}}]}`, create},
		{"write, rejected at the expected revision", `{"header":{"revision":"8"},"responses":[{"response_range":{"kvs":[{"key":"YQ==","mod_revision":"4"}]}}]}`, put},
		{"read, empty object", `{}`, get},
		{"read, another key", `{"header":{"revision":"8"},"kvs":[{"key":"Yg==","mod_revision":"3"}]}`, get},
		{"read, item without a revision", `{"header":{"revision":"8"},"kvs":[{"key":"YQ=="}]}`, get},
		{"read, item newer than the read", `{"header":{"revision":"8"},"kvs":[{"key":"YQ==","mod_revision":"9"}]}`, get},
		{"read, two items of a key", `{"header":{"revision":"8"},"kvs":[{"key":"YQ==","mod_revision":"3"},{"key":"YQ==","mod_revision":"4"}]}`, get},
		{"range, key before it", `{"header":{"revision":"8"},"kvs":[{"key":"YS8y","mod_revision":"3"}]}`, list},
		{"range, key behind it", `{"header":{"revision":"8"},"kvs":[{"key":"Yi80","mod_revision":"3"}]}`, list},
		{"range, keys out of order", `{"header":{"revision":"8"},"kvs":[{"key":"YS80","mod_revision":"3"},{"key":"YS8z","mod_revision":"3"}]}`, list},
		{"range, more than the limit", `{"header":{"revision":"8"},"kvs":[{"key":"YS8z","mod_revision":"3"},{"key":"YS80","mod_revision":"3"},{"key":"YS81","mod_revision":"3"}]}`, list},
		{"range, more after no item", `{"header":{"revision":"8"},"more":true}`, list},
		{"lease without an id", `{"TTL":"60"}`, grant},
		{"lease without a lifetime", `{"ID":"7"}`, grant},
		{"lease of negative lifetime", `{"ID":"7","TTL":"-3"}`, grant},
		{"lease whose lifetime overflows", `{"ID":"7","TTL":"9300000000"}`, grant},
		{"removal, empty object", `{}`, remove},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var unanswered *kv.UnansweredError
			require.ErrorAs(t, c.call(t.Context(), startScripted(t, c.body)), &unanswered)
			assert.True(t, unanswered.Sent, "a write may have taken effect")
		})
	}
}

// Guards against items of an answer that was rejected which show in the answer to the next attempt.
func TestAttemptsOfAReadAreSeparate(t *testing.T) {
	client := startScripted(t, `{"header":{"revision":"8"},"more":true,"kvs":[{"key":"YQ==","mod_revision":"3"},7]}`, `{"header":{"revision":"9"}}`)
	page, err := client.Range(t.Context(), "a", "", 5)
	require.NoError(t, err)
	assert.Equal(t, kv.Page{Revision: 9}, page)
}

// Guards against a holder that gives up its lease, or acts beyond it, because of an answer that is not one to its renewal.
func TestRenewalWithoutAnAnswerLeavesTheLease(t *testing.T) {
	for name, body := range map[string]string{
		"empty object":               `{}`,
		"error of the gateway":       `{"error":{"grpc_code":14,"message":"unavailable"}}`,
		"another lease":              `{"result":{"ID":"8"}}`,
		"lifetime that overflows":    `{"result":{"ID":"7","TTL":"9300000000"}}`,
		"negative lifetime":          `{"result":{"ID":"7","TTL":"-1"}}`,
		"bytes behind the answer":    `{"result":{"ID":"7","TTL":"60"}} x`,
		"answer to a grant of lease": `{"ID":"7","TTL":"60"}`,
	} {
		t.Run(name, func(t *testing.T) {
			lease, err := startScripted(t, `{"ID":"7","TTL":"60"}`, body).Grant(t.Context(), time.Minute)
			require.NoError(t, err)
			var unanswered *kv.UnansweredError
			require.ErrorAs(t, lease.KeepAlive(t.Context()), &unanswered)
			assert.True(t, lease.Held())
		})
	}
}

// Guards against a message of a watch that is none: a change of a foreign key, or a revision so far ahead that no later change is
// delivered. Nothing of such a message is delivered.
func TestMalformedMessagesOfAWatchDeliverNothing(t *testing.T) {
	const sound = `{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"YS8x","value":"MQ==","mod_revision":"9"}}]}}`
	for name, body := range map[string]string{
		"foreign key":                `{"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"YS8x","mod_revision":"8"}},{"kv":{"key":"Yi8x","mod_revision":"8"}}]}}`,
		"revision beyond the store":  `{"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"YS8x","mod_revision":"9223372036854775807"}}]}}`,
		"no revision of the store":   `{"result":{"events":[{"kv":{"key":"YS8x","mod_revision":"8"}}]}}`,
		"revisions that go back":     `{"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"YS8x","mod_revision":"8"}},{"kv":{"key":"YS8y","mod_revision":"7"}}]}}`,
		"change that is of no kind":  `{"result":{"header":{"revision":"8"},"events":[{"type":"x","kv":{"key":"YS8x","mod_revision":"8"}}]}}`,
		"error in place of messages": `{"error":{"grpc_code":14,"message":"unavailable"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var events []kv.Event
			err := startScripted(t, body, sound).Watch(ctx, "a/", 7, func(event kv.Event) error {
				events = append(events, event)
				return errEnough
			})
			require.ErrorIs(t, err, errEnough)
			assert.Equal(t, []kv.Event{{Kind: kv.EventPut, Item: kv.Item{Key: "a/1", Value: []byte("1"), Revision: 9}}}, events)
		})
	}
}

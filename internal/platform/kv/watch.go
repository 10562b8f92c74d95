package kv

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// EventKind says what a watch saw.
type EventKind string

// The kinds of events.
const (
	EventPut    EventKind = "Put"
	EventDelete EventKind = "Delete"
	// EventReload comes before puts of everything there is, when history was compacted.
	EventReload EventKind = "Reload"
)

// Event is one change that a watch saw.
type Event struct {
	Kind EventKind
	Item Item
}

// Watch passes each change under the prefix from a revision on to deliver, once and in order.
//
// It makes the watch anew with backoff when it breaks, and reads everything
// when the history it needs was compacted. It returns when ctx ends or with the
// error of deliver.
func (client *Client) Watch(ctx context.Context, prefix string, revision int64, deliver func(Event) error) error {
	position := &watchPosition{nextRevision: revision, deliver: deliver}
	for attempt := 0; ; {
		before := position.nextRevision
		err := client.watchOnce(ctx, prefix, position)
		if position.deliverErr != nil {
			return position.deliverErr
		}
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			if err := client.reload(ctx, prefix, position); position.deliverErr != nil {
				return err
			}
		}
		if position.nextRevision != before {
			attempt = 0
		}
		attempt++
		if err := client.backOff(ctx, attempt); err != nil {
			return err
		}
	}
}

// watchPosition is how far one watch has come; it belongs to the goroutine of that watch.
type watchPosition struct {
	nextRevision    int64
	deliver func(Event) error
	deliverErr  error
}

func (position *watchPosition) emit(event Event) error {
	position.deliverErr = position.deliver(event)
	return position.deliverErr
}

// reload delivers everything under the prefix and moves to the revision at which it was read.
func (client *Client) reload(ctx context.Context, prefix string, position *watchPosition) error {
	page, err := client.Range(ctx, prefix, "", 0)
	if err != nil {
		return err
	}
	if err := position.emit(Event{Kind: EventReload, Item: Item{Key: prefix, Revision: page.Revision}}); err != nil {
		return err
	}
	for _, item := range page.Items {
		if err := position.emit(Event{Kind: EventPut, Item: item}); err != nil {
			return err
		}
	}
	position.nextRevision = max(position.nextRevision, page.Revision+1)
	return nil
}

// watchOnce reads one watch until it ends, breaks, or has been open for the watch period.
func (client *Client) watchOnce(ctx context.Context, prefix string, position *watchPosition) error {
	if err := client.budget.Wait(ctx); err != nil {
		return client.notSentError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, client.settings.WatchPeriod)
	defer cancel()
	create := watchCreate{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: position.nextRevision}
	reply, err := client.post(ctx, client.watches, "/v3/watch", watchRequest{Create: create})
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return client.responseError(reply)
	}
	return client.readEvents(reply.Body, position)
}

func (client *Client) readEvents(body io.Reader, position *watchPosition) error {
	decoder := json.NewDecoder(body)
	for {
		var response watchResponse
		if err := decoder.Decode(&response); err != nil {
			return client.unansweredError(err)
		}
		if response.Result.Canceled {
			return &CompactedError{Revision: response.Result.CompactRevision}
		}
		// A message holds all events of its revisions, so one that ends before
		// the next revision was delivered already.
		next := position.nextRevision
		for _, event := range response.Result.Events {
			if event.Kv.ModRevision < position.nextRevision {
				continue
			}
			kind := EventPut
			if event.Type == "DELETE" {
				kind = EventDelete
			}
			if err := position.emit(Event{Kind: kind, Item: event.Kv.item()}); err != nil {
				return err
			}
			next = event.Kv.ModRevision + 1
		}
		position.nextRevision = next
	}
}

package kv

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// EventKind is the kind of an event of a watch.
type EventKind string

// The kinds of events.
const (
	EventPut    EventKind = "Put"
	EventDelete EventKind = "Delete"
	// EventReload is followed by a put event for each current item. It is sent when the service
	// has compacted changes that the watch still had to deliver.
	EventReload EventKind = "Reload"
)

// Event is a change that a watch delivers. For [EventReload], the item has the watched prefix as
// its key and the revision of the read.
type Event struct {
	Kind EventKind
	Item Item
}

// Watch calls deliver for each change of a key with the prefix, from a revision on, once and in order.
//
// After a failure, it opens the watch again with backoff. If the service has compacted
// changes that were not delivered, it delivers all current items instead, after an
// [EventReload]. It returns an error when ctx ends, or the error of deliver.
func (client *Client) Watch(ctx context.Context, prefix string, revision int64, deliver func(Event) error) error {
	position := &watchPosition{nextRevision: revision, deliver: deliver}
	for attempt := 0; ; {
		startRevision := position.nextRevision
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
		if position.nextRevision != startRevision {
			attempt = 0
		}
		attempt++
		if err := client.backOff(ctx, attempt); err != nil {
			return err
		}
	}
}

// watchPosition is the progress of one call of Watch and is used only by the goroutine of that call.
type watchPosition struct {
	// nextRevision is the lowest revision whose changes are not yet delivered.
	nextRevision int64
	deliver      func(Event) error
	// deliverErr is the error that deliver returned, which ends the watch.
	deliverErr error
}

// emit delivers an event and keeps the error of deliver.
func (position *watchPosition) emit(event Event) error {
	position.deliverErr = position.deliver(event)
	return position.deliverErr
}

// reload delivers all current items with the prefix, and moves the position after the revision at which
// they were read.
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

// watchOnce opens one watch and delivers its events until it fails or has been open for the watch period.
func (client *Client) watchOnce(ctx context.Context, prefix string, position *watchPosition) error {
	if err := client.limiter.Wait(ctx); err != nil {
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
	return client.readEvents(reply.Body, create, position)
}

// readEvents delivers the events in the body of a watch response until the body ends, a message is malformed or deliver fails.
func (client *Client) readEvents(body io.Reader, create watchCreate, position *watchPosition) error {
	bounded := newBoundedReader(body)
	decoder := json.NewDecoder(bounded)
	for {
		bounded.nextMessage()
		response := watchResponse{create: create}
		if err := decoder.Decode(&response); err != nil {
			return client.unansweredError(err)
		}
		if err := response.check(); err != nil {
			return client.unansweredError(err)
		}
		if response.Result.Canceled {
			return &CompactedError{Revision: response.Result.CompactRevision}
		}
		// Events below the position were delivered already, since a message contains all
		// events of its revisions. The position moves only after the message, because
		// several events may have the same revision.
		nextRevision := position.nextRevision
		for _, event := range response.Result.Events {
			if event.Kv.ModRevision < position.nextRevision {
				continue
			}
			kind := EventPut
			if event.Type == eventTypeDelete {
				kind = EventDelete
			}
			if err := position.emit(Event{Kind: kind, Item: event.Kv.item()}); err != nil {
				return err
			}
			nextRevision = event.Kv.ModRevision + 1
		}
		position.nextRevision = nextRevision
	}
}

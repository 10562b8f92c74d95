package kv

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// Memory holds the data of the service without a server, for tests in virtual time.
type Memory struct {
	data *rcu.Cell[publishedState]
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{data: rcu.New(publishedState{state: State{revision: 1}, replaced: make(chan struct{})})}
}

// State returns the current state of the data.
func (memory *Memory) State() State { return memory.data.Load().state }

// Connect returns a client whose calls reach the store after latency.
func (memory *Memory) Connect(latency time.Duration) *Link {
	return &Link{memory: memory, latency: latency, script: rcu.New[[]LinkFault](nil), randomFaults: rcu.New(randomFaults{})}
}

// transact applies a transaction to the data and wakes the watches if it changed something.
func (memory *Memory) transact(request txnRequest) (txnResponse, *protocolError) {
	type outcome struct {
		response txnResponse
		failure  *protocolError
		replaced chan struct{}
	}
	_, applied := rcu.Apply(memory.data, func(current publishedState) (publishedState, outcome) {
		next, response, failure := current.state.withTxn(request)
		if failure != nil || next.revision == current.state.revision {
			return current, outcome{response: response, failure: failure}
		}
		return publishedState{state: next, replaced: make(chan struct{})}, outcome{response: response, replaced: current.replaced}
	})
	if applied.replaced != nil {
		close(applied.replaced)
	}
	return applied.response, applied.failure
}

// put stores the value and returns the new revision if the key is at the given revision, 0 for an absent key.
// It returns a [*kv.ConflictError] with the current item if the key is at another revision, and a
// [*kv.TooLargeError] if the value exceeds maxValueBytes.
func (memory *Memory) put(key string, value []byte, revision int64) (int64, error) {
	response, failure := memory.transact(txnRequest{
		Compare: []comparison{{Target: "MOD", Key: []byte(key), ModRevision: revision}},
		Success: []requestStep{{Put: &putRequest{Key: []byte(key), Value: value}}},
		Failure: []requestStep{{Range: &rangeRequest{Key: []byte(key)}}},
	})
	if failure != nil {
		return 0, &kv.TooLargeError{Key: key, Size: len(value)}
	}
	if response.Succeeded {
		return response.Header.Revision, nil
	}
	conflict := &kv.ConflictError{Key: key}
	if found := response.Responses[0].Range.Kvs; len(found) > 0 {
		conflict.Current, conflict.Found = found[0].clientItem(), true
	}
	return 0, conflict
}

// watch passes the changes to keys in [from, end), from a revision on, to deliver. It returns
// the error of deliver, or that of ctx when ctx ends.
func (memory *Memory) watch(ctx context.Context, from, end string, revision int64, deliver func(kv.Event) error) error {
	for {
		current := memory.data.Load()
		for _, change := range current.state.events(revision, from, end) {
			event := kv.Event{Kind: kv.EventPut, Item: encodeItem(change.item).clientItem()}
			if change.deleted {
				event.Kind = kv.EventDelete
			}
			if err := deliver(event); err != nil {
				return err
			}
		}
		revision = max(revision, current.state.revision+1)
		select {
		case <-current.replaced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// clientItem returns the item in the representation of the client.
func (message keyValue) clientItem() kv.Item {
	return kv.Item{Key: string(message.Key), Value: message.Value, Revision: message.ModRevision}
}

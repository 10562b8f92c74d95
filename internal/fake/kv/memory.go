package kv

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// Memory is the service's data without a server, for tests in virtual time.
type Memory struct {
	data *rcu.Cell[version]
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{data: rcu.New(version{state: State{revision: 1}, replaced: make(chan struct{})})}
}

// State returns the current data.
func (memory *Memory) State() State { return memory.data.Load().state }

// Connect returns a client of the store, which answers after latency.
func (memory *Memory) Connect(latency time.Duration) *Link {
	return &Link{memory: memory, latency: latency, script: rcu.New[[]LinkFault](nil), chaos: rcu.New(chaos{})}
}

// transact stores the outcome of a transaction and wakes the watches.
func (memory *Memory) transact(request txnRequest) (txnResponse, *failure) {
	type outcome struct {
		response txnResponse
		refused  *failure
		replaced chan struct{}
	}
	_, result := rcu.Apply(memory.data, func(current version) (version, outcome) {
		next, response, refused := current.state.withTxn(request)
		if refused != nil || next.revision == current.state.revision {
			return current, outcome{response: response, refused: refused}
		}
		return version{state: next, replaced: make(chan struct{})}, outcome{response: response, replaced: current.replaced}
	})
	if result.replaced != nil {
		close(result.replaced)
	}
	return result.response, result.refused
}

// put stores the value if the key's revision is the given one, 0 for an absent key.
func (memory *Memory) put(key string, value []byte, revision int64) (int64, error) {
	response, refused := memory.transact(txnRequest{
		Compare: []comparison{{Target: "MOD", Key: []byte(key), ModRevision: revision}},
		Success: []requestStep{{Put: &putRequest{Key: []byte(key), Value: value}}},
		Failure: []requestStep{{Range: &rangeRequest{Key: []byte(key)}}},
	})
	if refused != nil {
		return 0, &kv.TooLargeError{Key: key, Size: len(value)}
	}
	if response.Succeeded {
		return response.Header.Revision, nil
	}
	conflict := &kv.ConflictError{Key: key}
	if found := response.Responses[0].Range.Kvs; len(found) > 0 {
		conflict.Current, conflict.Found = found[0].client(), true
	}
	return 0, conflict
}

// watch passes the changes of [from, end) from a revision on to deliver.
func (memory *Memory) watch(ctx context.Context, from, end string, revision int64, deliver func(kv.Event) error) error {
	for {
		current := memory.data.Load()
		for _, change := range current.state.events(revision, from, end) {
			event := kv.Event{Kind: kv.EventPut, Item: message(change.item).client()}
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

// client returns the item as the client shows it.
func (message keyValue) client() kv.Item {
	return kv.Item{Key: string(message.Key), Value: message.Value, Revision: message.ModRevision}
}

package kv

import (
	"context"
	"errors"
)

// Item is a key with its value and the revision at which it was last changed.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
}

// Page is the result of a range read.
type Page struct {
	Items []Item
	// Revision is the revision of the whole store at the read.
	Revision int64
	// More reports whether the range has more items than the limit allowed.
	More bool
}

// Get returns the item of a key, or false if there is none.
func (client *Client) Get(ctx context.Context, key string) (Item, bool, error) {
	response, err := client.readRange(ctx, rangeRequest{Key: []byte(key)})
	if err != nil || len(response.Kvs) == 0 {
		return Item{}, false, err
	}
	return response.Kvs[0].item(), true, nil
}

// Range returns, in key order, up to limit items (0 for all) whose keys have the prefix and are not
// before from.
func (client *Client) Range(ctx context.Context, prefix, from string, limit int) (Page, error) {
	request := rangeRequest{Key: []byte(max(prefix, from)), RangeEnd: prefixEnd(prefix), Limit: int64(limit)}
	response, err := client.readRange(ctx, request)
	if err != nil {
		return Page{}, err
	}
	page := Page{Revision: response.Header.Revision, More: response.More}
	for _, message := range response.Kvs {
		page.Items = append(page.Items, message.item())
	}
	return page, nil
}

// Create stores the value if the key is absent.
//
// It returns the new revision, or a [*ConflictError] with the current item.
func (client *Client) Create(ctx context.Context, key string, value []byte) (int64, error) {
	return client.Put(ctx, key, value, 0)
}

// Put stores the value if the key has the given revision, 0 for an absent key.
//
// It returns the new revision, or a [*ConflictError] with the current item.
func (client *Client) Put(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	return client.put(ctx, putRequest{Key: []byte(key), Value: value}, revision)
}

// put makes the transaction for [Client.Put] and [Lease.Create].
func (client *Client) put(ctx context.Context, put putRequest, revision int64) (int64, error) {
	key := string(put.Key)
	request := txnRequest{
		Compare: []comparison{{Result: "EQUAL", Target: "MOD", Key: put.Key, ModRevision: revision}},
		Success: []operation{{Put: &put}},
		Failure: []operation{{Range: &rangeRequest{Key: put.Key}}},
	}
	response := txnResponse{key: put.Key, expected: revision}
	err := client.call(ctx, "/v3/kv/txn", request, &response)
	var tooLarge *TooLargeError
	if errors.As(err, &tooLarge) {
		return 0, &TooLargeError{Key: key, Size: len(put.Value)}
	}
	if err != nil {
		return 0, err
	}
	if response.Succeeded {
		return response.Header.Revision, nil
	}
	conflict := &ConflictError{Key: key}
	if current := response.Responses[0].Range.Kvs; len(current) > 0 {
		conflict.Current = current[0].item()
		conflict.Found = true
	}
	return 0, conflict
}

// Delete removes the keys in [from, end), or only the key from if end is empty.
func (client *Client) Delete(ctx context.Context, from, end string) error {
	request := deleteRequest{Key: []byte(from), RangeEnd: []byte(end)}
	return client.call(ctx, "/v3/kv/deleterange", request, &deleteResponse{})
}

package kv

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxLeaseSeconds is the longest lifetime that etcd grants, of which a [time.Duration] does not overflow.
const maxLeaseSeconds = 9_000_000_000

// answer is the body of a response. Fields that a body lacks look like an empty result, such as a rejected write or an absent key, so
// each answer is checked against what the service always sends.
type answer interface {
	// check returns an error that says where the body is not an answer to its request.
	check() error
}

// decodeAnswer reads the only JSON value of a body.
func decodeAnswer(body io.Reader, response answer) error {
	decoder := json.NewDecoder(body)
	if err := decoder.Decode(response); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("malformed answer: bytes behind its end")
	}
	return response.check()
}

// check returns an error for a message without the store's revision, which every answer about keys has.
func (header header) check() error {
	if header.Revision <= 0 {
		return fmt.Errorf("malformed answer: the revision of the store is %d", header.Revision)
	}
	return nil
}

func (response *deleteResponse) check() error { return response.Header.check() }

// check accepts any JSON object: whatever the answer is, the holder has stopped acting.
func (response *revokeResponse) check() error { return nil }

func (response *rangeResponse) check() error {
	if err := response.Header.check(); err != nil {
		return err
	}
	request := response.request
	exceeds := request.Limit > 0 && int64(len(response.Kvs)) > request.Limit
	if exceeds || response.More && len(response.Kvs) == 0 {
		return fmt.Errorf("malformed answer: %d items, more: %t, of at most %d", len(response.Kvs), response.More, request.Limit)
	}
	var last []byte
	for i, item := range response.Kvs {
		if !inRange(item.Key, request.Key, request.RangeEnd) || i > 0 && bytes.Compare(last, item.Key) >= 0 {
			return fmt.Errorf("malformed answer: the key %q is out of the range or the order", item.Key)
		}
		if item.ModRevision <= 0 || item.ModRevision > response.Header.Revision {
			return fmt.Errorf("malformed answer: revision %d of the key %q in a store at revision %d", item.ModRevision, item.Key, response.Header.Revision)
		}
		last = item.Key
	}
	return nil
}

// inRange reports whether a key is from, or is in [from, end) if end is not empty; an end of one zero byte is beyond all keys.
func inRange(key, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, from)
	case bytes.Equal(end, []byte{0}):
		return bytes.Compare(key, from) >= 0
	default:
		return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
	}
}

// check requires of a rejected write that the current revision of the key, 0 for none, is not the expected one.
func (response *txnResponse) check() error {
	if err := response.Header.check(); err != nil {
		return err
	}
	if response.Succeeded {
		if response.Header.Revision <= response.expected {
			return fmt.Errorf("malformed answer: a write at revision %d replaced revision %d", response.Header.Revision, response.expected)
		}
		return nil
	}
	if len(response.Responses) != 1 {
		return fmt.Errorf("malformed answer: %d results of the read of a rejected write", len(response.Responses))
	}
	// The revision of the store is that of the transaction, whose steps may leave it out.
	read := response.Responses[0].Range
	read.Header, read.request = response.Header, rangeRequest{Key: response.key}
	if err := read.check(); err != nil {
		return err
	}
	current := int64(0)
	if len(read.Kvs) > 0 {
		current = read.Kvs[0].ModRevision
	}
	if current == response.expected {
		return fmt.Errorf("malformed answer: a write is rejected although the key has the expected revision %d", current)
	}
	return nil
}

func (response *leaseResponse) check() error {
	if response.ID <= 0 || response.TTL <= 0 || response.TTL > maxLeaseSeconds {
		return fmt.Errorf("malformed answer: lease %d of %d s", response.ID, response.TTL)
	}
	return nil
}

// check accepts a lifetime of 0, with which the service says that the lease has ended.
func (response *keepAliveResponse) check() error {
	result := response.Result
	if result.ID != response.id || result.TTL < 0 || result.TTL > maxLeaseSeconds {
		return fmt.Errorf("malformed answer: lease %d of %d s in place of lease %d", result.ID, result.TTL, response.id)
	}
	return nil
}

// check accepts messages without events and without a revision, such as that of a canceled watch.
func (response *watchResponse) check() error {
	result, last := response.Result, int64(1) // the lowest revision
	for _, event := range result.Events {
		if event.Type != "" && event.Type != eventTypePut && event.Type != eventTypeDelete {
			return fmt.Errorf("malformed event: type %q", event.Type)
		}
		if !inRange(event.Kv.Key, response.create.Key, response.create.RangeEnd) {
			return fmt.Errorf("malformed event: the key %q is outside of the watch", event.Kv.Key)
		}
		if event.Kv.ModRevision < last || event.Kv.ModRevision > result.Header.Revision {
			return fmt.Errorf("malformed event: revision %d after %d in a store at revision %d", event.Kv.ModRevision, last, result.Header.Revision)
		}
		last = event.Kv.ModRevision
	}
	return nil
}

package kvlog

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// stepLog names the log in errors.
const stepLog = "kvlog"

// readPageSize is how many entries one call reads; with entries of tens of
// kilobytes, a page stays within a few megabytes.
const readPageSize = 100

// Store is the part of a key-value service that a log needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Item, bool, error)
	Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error)
	// Put stores the value if the key's revision is the given one, 0 for an
	// absent key, and returns the new revision or a [*kv.ConflictError].
	Put(ctx context.Context, key string, value []byte, revision int64) (int64, error)
	Delete(ctx context.Context, from, end string) error
	Watch(ctx context.Context, prefix string, revision int64, deliver func(kv.Event) error) error
}

// Log is one numbered log.
type Log struct {
	store  Store
	prefix string
}

// Entry is one committed entry.
type Entry struct {
	// Number counts from 1.
	Number int64
	// WriteID is unique per write over all writers.
	WriteID string
	Payload []byte
}

// Tail is the end of a log as it was at one moment.
type Tail struct {
	Entries []Entry
	// Last is the number of the last entry, or the one before the first that was asked for.
	Last int64
	// Revision is the store's revision, from which [Log.Follow] goes on.
	Revision int64
}

// New returns the log under the prefix, which has no slash at its end.
func New(store Store, prefix string) *Log {
	return &Log{store: store, prefix: prefix + "/"}
}

// Read returns the entries from number on, or a [*TruncatedError] if some of them are gone.
func (log *Log) Read(ctx context.Context, number int64) (Tail, error) {
	tail := Tail{Last: number - 1}
	from := log.key(number)
	for {
		page, err := log.store.Range(ctx, log.prefix, from, readPageSize)
		if err != nil {
			return Tail{}, err
		}
		if tail.Revision == 0 {
			// The first page's revision is the oldest, so following from it misses nothing.
			tail.Revision = page.Revision
		}
		for _, item := range page.Items {
			if tail, err = log.withItem(tail, number, item); err != nil {
				return Tail{}, err
			}
			from = item.Key + "\x00"
		}
		if page.More {
			continue
		}
		if int64(len(tail.Entries)) != tail.Last-number+1 {
			return Tail{}, fault.New(stepLog, log.prefix, "entries are missing between %d and %d", number, tail.Last)
		}
		return tail, nil
	}
}

// Floor returns the number of the last truncated entry, 0 for none.
func (log *Log) Floor(ctx context.Context) (int64, error) {
	item, found, err := log.store.Get(ctx, log.floorKey())
	if err != nil || !found {
		return 0, err
	}
	return strconv.ParseInt(string(item.Value), 10, 64)
}

// withItem adds an item of the log's range to the tail.
//
// The floor sorts after all numbers, so it comes last and is as new as any entry read.
func (log *Log) withItem(tail Tail, wanted int64, item kv.Item) (Tail, error) {
	if item.Key == log.floorKey() {
		floor, err := strconv.ParseInt(string(item.Value), 10, 64)
		if err != nil {
			return tail, fault.Wrap(err, stepLog, item.Key)
		}
		if floor >= wanted {
			return tail, &TruncatedError{Floor: floor}
		}
		return tail, nil
	}
	entry, err := log.decode(item)
	if err != nil {
		return tail, err
	}
	tail.Entries = append(tail.Entries, entry)
	tail.Last = entry.Number
	return tail, nil
}

func (log *Log) key(number int64) string { return fmt.Sprintf("%s%016d", log.prefix, number) }

func (log *Log) floorKey() string { return log.prefix + "floor" }

// encode puts the write identifier on a line before the payload.
func encode(entry Entry) []byte {
	return append([]byte(entry.WriteID+"\n"), entry.Payload...)
}

func (log *Log) decode(item kv.Item) (Entry, error) {
	number, err := strconv.ParseInt(strings.TrimPrefix(item.Key, log.prefix), 10, 64)
	if err != nil {
		return Entry{}, fault.Wrap(err, stepLog, item.Key)
	}
	writeID, payload, found := strings.Cut(string(item.Value), "\n")
	if !found {
		return Entry{}, fault.New(stepLog, item.Key, "no write identifier")
	}
	return Entry{Number: number, WriteID: writeID, Payload: []byte(payload)}, nil
}

package kvlog

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// stepLog is the step in errors of this package.
const stepLog = "kvlog"

// readPageSize is the number of entries per read, which bounds a page to a few megabytes for
// entries of tens of kilobytes.
const readPageSize = 100

// Store is the key-value service that holds the entries of a log; [kv.Client] implements it and
// documents the methods.
type Store interface {
	Get(ctx context.Context, key string) (kv.Item, bool, error)
	Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error)
	// Put stores the value if the key has the given revision, 0 for an absent key,
	// and returns the new revision or a [*kv.ConflictError].
	Put(ctx context.Context, key string, value []byte, revision int64) (int64, error)
	Delete(ctx context.Context, from, end string) error
	Watch(ctx context.Context, prefix string, revision int64, deliver func(kv.Event) error) error
}

// Log is a log of numbered entries; several threads and processes may append to it.
type Log struct {
	store  Store
	prefix string
}

// Entry is an entry of a log.
type Entry struct {
	// Number counts from 1.
	Number int64
	// WriteID identifies the append that wrote the entry. It is unique among all writers and has no
	// line break.
	WriteID string
	Payload []byte
}

// Tail is the part of a log from some number on, as of one read.
type Tail struct {
	Entries []Entry
	// LastNumber is the number of the last entry, or the number before the first requested one if
	// there are no entries.
	LastNumber int64
	// Revision is the store's revision at the read, after which [Log.Follow] continues.
	Revision int64
}

// New returns the log whose keys are under the prefix, which must not end with a slash.
func New(store Store, prefix string) *Log {
	return &Log{store: store, prefix: prefix + "/"}
}

// Read returns the entries from number on, or a [*TruncatedError] if some of them were truncated.
func (log *Log) Read(ctx context.Context, number int64) (Tail, error) {
	tail := Tail{LastNumber: number - 1}
	from := log.key(number)
	for {
		page, err := log.store.Range(ctx, log.prefix, from, readPageSize)
		if err != nil {
			return Tail{}, err
		}
		if tail.Revision == 0 {
			// The revision of the first page is the lowest of all pages, so following the log
			// from it misses no entry.
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
		if int64(len(tail.Entries)) != tail.LastNumber-number+1 {
			return Tail{}, fault.New(stepLog, log.prefix, "log has gaps in the entries from %d to %d", number, tail.LastNumber)
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

// withItem returns the tail with an item of the log's key range added.
//
// It returns a [*TruncatedError] if the item is the floor and entries from number first on were
// truncated. The key of the floor sorts after those of all entries, so the floor is read last and
// accounts for each truncation that may have removed entries from earlier pages.
func (log *Log) withItem(tail Tail, first int64, item kv.Item) (Tail, error) {
	if item.Key == log.floorKey() {
		floor, err := strconv.ParseInt(string(item.Value), 10, 64)
		if err != nil {
			return tail, fault.Wrap(err, stepLog, item.Key)
		}
		if floor >= first {
			return tail, &TruncatedError{Floor: floor}
		}
		return tail, nil
	}
	entry, err := log.decode(item)
	if err != nil {
		return tail, err
	}
	tail.Entries = append(tail.Entries, entry)
	tail.LastNumber = entry.Number
	return tail, nil
}

func (log *Log) key(number int64) string { return fmt.Sprintf("%s%016d", log.prefix, number) }

func (log *Log) floorKey() string { return log.prefix + "floor" }

// encode returns the stored form of an entry: a line with the write ID, followed by the payload.
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
		return Entry{}, fault.New(stepLog, item.Key, "malformed entry: no line with the write ID")
	}
	return Entry{Number: number, WriteID: writeID, Payload: []byte(payload)}, nil
}

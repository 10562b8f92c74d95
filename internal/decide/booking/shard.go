package booking

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of maps that a shard's records are split into, so that a
// change copies only a small part of them.
const bucketCount = 256

// Settings limit the records that a shard keeps; they must be equal at all entries.
type Settings struct {
	// Retention is the time for which a resolved booking is kept to answer repeats of its key.
	Retention time.Duration
	// MaxRecords is the maximum number of records in a shard; at that number, new orders are refused.
	MaxRecords int
}

// DefaultSettings returns settings that keep bookings for a day, at most 100,000 per shard.
//
// This suffices for 1.2 orders a second in each shard.
func DefaultSettings() Settings {
	return Settings{Retention: 24 * time.Hour, MaxRecords: 100_000}
}

// Shard holds the bookings that result from one shard's log up to one of its entries.
type Shard struct {
	settings Settings
	last     int64 // number of the last log entry that was applied
	count    int
	buckets  [bucketCount]map[Key]Record
}

// NewShard returns the state of an empty log.
func NewShard(settings Settings) Shard {
	return Shard{settings: settings}
}

// ShardOf returns the index of the shard, out of count shards, that a key belongs to.
func ShardOf(key Key, count int) int {
	return int(hash(key) % uint64(count))
}

// Last returns the number of the last log entry that was applied.
func (shard Shard) Last() int64 { return shard.last }

// Count returns the number of records.
func (shard Shard) Count() int { return shard.count }

// Record returns the record of the key, in [StateAbsent] if there is none.
func (shard Shard) Record(key Key) Record {
	record, ok := shard.buckets[bucketOf(key)][key]
	if !ok {
		return Record{Key: key, State: StateAbsent}
	}
	return record
}

// WithEntry returns the shard after the changes of the log entry with that number;
// changes that do not apply are ignored.
func (shard Shard) WithEntry(number int64, changes []Change) Shard {
	for _, change := range changes {
		shard, _ = shard.withChange(change, number)
	}
	shard.last = number
	return shard
}

// WithLast returns the shard with the entries up to number counted as applied. Use it
// for truncated entries, which contain no change that is still needed.
func (shard Shard) WithLast(number int64) Shard {
	shard.last = max(shard.last, number)
	return shard
}

// WithoutTruncated returns the shard without the resolved records whose last change is in a
// truncated entry, which is one with a number up to lastTruncated.
func (shard Shard) WithoutTruncated(lastTruncated int64) Shard {
	for index, bucket := range shard.buckets {
		kept := maps.Clone(bucket)
		maps.DeleteFunc(kept, func(_ Key, record Record) bool { return record.LastEntry <= lastTruncated && !record.Unresolved() })
		shard.count -= len(bucket) - len(kept)
		shard.buckets[index] = kept
	}
	return shard
}

// Truncation returns the number up to which the log may be truncated at the given
// time, and the unresolved records that must be written again before that
// ([Record.CarryForward]).
func (shard Shard) Truncation(now time.Time) (int64, []Record) {
	through := shard.last
	for _, bucket := range shard.buckets {
		for _, record := range bucket {
			if !record.Unresolved() && !record.Expired(now, shard.settings.Retention) {
				through = min(through, record.FirstEntry-1)
			}
		}
	}
	var carried []Record
	for _, bucket := range shard.buckets {
		for _, record := range bucket {
			if record.Unresolved() && record.FirstEntry <= through {
				carried = append(carried, record)
			}
		}
	}
	return through, carried
}

func (shard Shard) withChange(change Change, number int64) (Shard, bool) {
	record, ok := shard.Record(change.Key).WithChange(change, number, shard.settings.Retention)
	if !ok {
		return shard, false
	}
	index := bucketOf(change.Key)
	bucket := maps.Clone(shard.buckets[index])
	if bucket == nil {
		bucket = map[Key]Record{}
	}
	shard.count += 1 - min(1, countKey(bucket, change.Key))
	bucket[change.Key] = record
	shard.buckets[index] = bucket
	return shard, true
}

// countKey returns 1 if the bucket contains the key, or else 0.
func countKey(bucket map[Key]Record, key Key) int {
	if _, ok := bucket[key]; ok {
		return 1
	}
	return 0
}

// bucketOf returns the bucket of a key. It uses the high bits of the hash, on which the
// choice of a shard depends least.
func bucketOf(key Key) int { return int(hash(key) >> 56) }

func hash(key Key) uint64 {
	return xxhash.Sum64String(key.Account + "\x00" + key.IdempotencyKey)
}

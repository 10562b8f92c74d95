package backend

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

const (
	// affinityShards and maxShardEntries bound the index to 1,024 prefixes; each update
	// copies one shard of less than 1 KB.
	affinityShards  = 64
	maxShardEntries = 16
	// affinityTTL is the age from which a prefix counts as evicted: eviction events can be
	// lost, and servers evict prefixes that are not used.
	affinityTTL = 5 * time.Minute
	// maxPrefixes is the number of indexed prefixes of a prompt, the whole prompt included.
	maxPrefixes = 5
)

// prefixBytes are the lengths in bytes of the prompt prefixes that are indexed, besides the whole prompt.
var prefixBytes = [maxPrefixes - 1]int{256, 1024, 4096, 16384}

// Prefixes are the hashes of a prompt's indexed prefixes, shortest first, the whole prompt last.
type Prefixes struct {
	hashes [maxPrefixes]uint64
	count  int
}

// NewPrefixes returns the prefixes of a prompt to a model; an empty prompt has none.
func NewPrefixes(model, prompt string) Prefixes {
	prefixes := Prefixes{}
	if prompt == "" {
		return prefixes
	}
	seed := xxhash.Sum64String(model)
	for _, length := range prefixBytes {
		if length < len(prompt) {
			prefixes = prefixes.withHash(seed ^ xxhash.Sum64String(prompt[:length]))
		}
	}
	return prefixes.withHash(seed ^ xxhash.Sum64String(prompt))
}

func (prefixes Prefixes) withHash(hash uint64) Prefixes {
	prefixes.hashes[prefixes.count] = hash
	prefixes.count++
	return prefixes
}

// Affinity is an approximate, bounded index from each prompt prefix to the server that has it cached.
//
// The entry adds the prompts of its own answered requests, so that the index works without
// cache events; cache events of the servers correct it. It is safe for concurrent use.
type Affinity struct {
	shards *[affinityShards]rcu.Cell[prefixShard]
}

// prefixShard is one shard of the index, with its least recently used prefix first.
type prefixShard struct {
	entries []prefixEntry
}

// prefixEntry records that a server had a prefix cached at a time.
type prefixEntry struct {
	hash     uint64
	server   string
	storedAt time.Time
}

// NewAffinity returns an empty index.
func NewAffinity() Affinity {
	shards := &[affinityShards]rcu.Cell[prefixShard]{}
	for i := range shards {
		shards[i].Store(prefixShard{})
	}
	return Affinity{shards: shards}
}

// PreferredServer returns the server that has the longest indexed prefix cached, or false if none is indexed.
func (affinity Affinity) PreferredServer(prefixes Prefixes, now time.Time) (string, bool) {
	for i := prefixes.count - 1; i >= 0; i-- {
		hash := prefixes.hashes[i]
		for _, entry := range affinity.shard(hash).Load().entries {
			if entry.hash == hash && now.Sub(entry.storedAt) < affinityTTL {
				return entry.server, true
			}
		}
	}
	return "", false
}

// RecordStored records that server had the prefixes cached at the time at.
func (affinity Affinity) RecordStored(prefixes Prefixes, server string, at time.Time) {
	for _, hash := range prefixes.hashes[:prefixes.count] {
		affinity.shard(hash).Update(func(shard prefixShard) prefixShard {
			return shard.withStored(prefixEntry{hash: hash, server: server, storedAt: at})
		})
	}
}

// RecordEvicted records that server evicted the prefixes at the time at.
func (affinity Affinity) RecordEvicted(prefixes Prefixes, server string, at time.Time) {
	for _, hash := range prefixes.hashes[:prefixes.count] {
		affinity.shard(hash).Update(func(shard prefixShard) prefixShard {
			return shard.withoutEvicted(prefixEntry{hash: hash, server: server, storedAt: at})
		})
	}
}

func (affinity Affinity) shard(hash uint64) *rcu.Cell[prefixShard] {
	return &affinity.shards[hash%affinityShards]
}

// withStored returns the shard with a stored prefix as the most recently used one, or unchanged if its entry for
// the prefix is later.
func (shard prefixShard) withStored(stored prefixEntry) prefixShard {
	index := slices.IndexFunc(shard.entries, func(entry prefixEntry) bool { return entry.hash == stored.hash })
	if index >= 0 && shard.entries[index].storedAt.After(stored.storedAt) {
		return shard
	}
	next := make([]prefixEntry, 0, len(shard.entries)+1)
	for i, entry := range shard.entries {
		if i != index {
			next = append(next, entry)
		}
	}
	next = append(next, stored)
	return prefixShard{entries: next[max(0, len(next)-maxShardEntries):]}
}

// withoutEvicted returns the shard without an evicted prefix, unless the prefix was used
// at that server after the eviction.
func (shard prefixShard) withoutEvicted(evicted prefixEntry) prefixShard {
	next := slices.DeleteFunc(slices.Clone(shard.entries), func(entry prefixEntry) bool {
		return entry.hash == evicted.hash && entry.server == evicted.server && !entry.storedAt.After(evicted.storedAt)
	})
	return prefixShard{entries: next}
}

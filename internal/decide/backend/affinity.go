package backend

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

const (
	// affinityShards and shardEntries bound the index to 1,024 prefixes; an update
	// copies one shard of under 1 KB.
	affinityShards = 64
	maxShardEntries   = 16
	// affinityTTL is when an entry no longer counts: eviction events get lost, and
	// servers evict prefixes that are not used.
	affinityTTL = 5 * time.Minute
	maxPrefixes  = 5
)

// prefixBytes are the lengths at which prompts are compared.
var prefixBytes = [maxPrefixes - 1]int{256, 1024, 4096, 16384}

// Prefixes are the hashes of a prompt's prefixes, shortest first, the whole prompt last.
type Prefixes struct {
	hashes [maxPrefixes]uint64
	count  int
}

// PrefixesOf returns the prefixes of a prompt to a model; an empty prompt has none.
func PrefixesOf(model, prompt string) Prefixes {
	prefixes := Prefixes{}
	if prompt == "" {
		return prefixes
	}
	seed := xxhash.Sum64String(model)
	for _, length := range prefixBytes {
		if length < len(prompt) {
			prefixes = prefixes.with(seed ^ xxhash.Sum64String(prompt[:length]))
		}
	}
	return prefixes.with(seed ^ xxhash.Sum64String(prompt))
}

func (prefixes Prefixes) with(hash uint64) Prefixes {
	prefixes.hashes[prefixes.count] = hash
	prefixes.count++
	return prefixes
}

// Affinity is an approximate, bounded index from prompt prefixes to the server that holds them.
//
// It learns from the entry's own answers, so that it works without cache
// events, and takes events as corrections.
type Affinity struct {
	shards *[affinityShards]rcu.Cell[prefixShard]
}

// prefixShard are the entries of a shard, least recently used first.
type prefixShard struct {
	entries []prefixEntry
}

type prefixEntry struct {
	hash   uint64
	server string
	at     time.Time
}

// NewAffinity returns an empty index.
func NewAffinity() Affinity {
	shards := &[affinityShards]rcu.Cell[prefixShard]{}
	for i := range shards {
		shards[i].Store(prefixShard{})
	}
	return Affinity{shards: shards}
}

// Holder returns the server that holds the longest known prefix.
func (affinity Affinity) Holder(prefixes Prefixes, now time.Time) (string, bool) {
	for i := prefixes.count - 1; i >= 0; i-- {
		hash := prefixes.hashes[i]
		for _, entry := range affinity.shard(hash).Load().entries {
			if entry.hash == hash && now.Sub(entry.at) < affinityTTL {
				return entry.server, true
			}
		}
	}
	return "", false
}

// Stored records that server held the prefixes at that time.
func (affinity Affinity) Stored(prefixes Prefixes, server string, at time.Time) {
	for _, hash := range prefixes.hashes[:prefixes.count] {
		affinity.shard(hash).Update(func(current prefixShard) prefixShard {
			return current.withStored(prefixEntry{hash: hash, server: server, at: at})
		})
	}
}

// Evicted records that server dropped the prefixes at that time.
func (affinity Affinity) Evicted(prefixes Prefixes, server string, at time.Time) {
	for _, hash := range prefixes.hashes[:prefixes.count] {
		affinity.shard(hash).Update(func(current prefixShard) prefixShard {
			return current.withoutEvicted(prefixEntry{hash: hash, server: server, at: at})
		})
	}
}

func (affinity Affinity) shard(hash uint64) *rcu.Cell[prefixShard] {
	return &affinity.shards[hash%affinityShards]
}

// withStored ignores an event that is older than what is known of the prefix.
func (current prefixShard) withStored(stored prefixEntry) prefixShard {
	at := slices.IndexFunc(current.entries, func(other prefixEntry) bool { return other.hash == stored.hash })
	if at >= 0 && current.entries[at].at.After(stored.at) {
		return current
	}
	next := make([]prefixEntry, 0, len(current.entries)+1)
	for i, entry := range current.entries {
		if i != at {
			next = append(next, entry)
		}
	}
	next = append(next, stored)
	return prefixShard{entries: next[max(0, len(next)-maxShardEntries):]}
}

// withoutEvicted ignores an event that is older than the last use of the prefix at that server.
func (current prefixShard) withoutEvicted(evicted prefixEntry) prefixShard {
	next := slices.DeleteFunc(slices.Clone(current.entries), func(other prefixEntry) bool {
		return other.hash == evicted.hash && other.server == evicted.server && !other.at.After(evicted.at)
	})
	return prefixShard{entries: next}
}

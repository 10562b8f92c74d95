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
	shardEntries   = 16
	// affinityLife is when an entry no longer counts: eviction events get lost, and
	// servers evict prefixes that are not used.
	affinityLife = 5 * time.Minute
	maxPrefixes  = 5
)

// prefixBytes are the lengths at which prompts are compared.
var prefixBytes = [maxPrefixes - 1]int{256, 1024, 4096, 16384}

// Prefixes are the hashes of a prompt's prefixes, shortest first, the whole prompt last.
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
	shards *[affinityShards]rcu.Cell[holders]
}

// holders are the entries of a shard, least recently used first.
type holders struct {
	entries []holder
}

type holder struct {
	hash   uint64
	server string
	at     time.Time
}

// NewAffinity returns an empty index.
func NewAffinity() Affinity {
	shards := &[affinityShards]rcu.Cell[holders]{}
	for i := range shards {
		shards[i].Store(holders{})
	}
	return Affinity{shards: shards}
}

// PreferredServer returns the server that holds the longest known prefix.
func (affinity Affinity) PreferredServer(prefixes Prefixes, now time.Time) (string, bool) {
	for i := prefixes.count - 1; i >= 0; i-- {
		hash := prefixes.hashes[i]
		for _, entry := range affinity.shard(hash).Load().entries {
			if entry.hash == hash && now.Sub(entry.at) < affinityLife {
				return entry.server, true
			}
		}
	}
	return "", false
}

// RecordStored records that server held the prefixes at that time.
func (affinity Affinity) RecordStored(prefixes Prefixes, server string, at time.Time) {
	for _, hash := range prefixes.hashes[:prefixes.count] {
		affinity.shard(hash).Update(func(current holders) holders {
			return current.withStored(holder{hash: hash, server: server, at: at})
		})
	}
}

// RecordEvicted records that server dropped the prefixes at that time.
func (affinity Affinity) RecordEvicted(prefixes Prefixes, server string, at time.Time) {
	for _, hash := range prefixes.hashes[:prefixes.count] {
		affinity.shard(hash).Update(func(current holders) holders {
			return current.withoutEvicted(holder{hash: hash, server: server, at: at})
		})
	}
}

func (affinity Affinity) shard(hash uint64) *rcu.Cell[holders] {
	return &affinity.shards[hash%affinityShards]
}

// withStored ignores an event that is older than what is known of the prefix.
func (current holders) withStored(stored holder) holders {
	at := slices.IndexFunc(current.entries, func(other holder) bool { return other.hash == stored.hash })
	if at >= 0 && current.entries[at].at.After(stored.at) {
		return current
	}
	next := make([]holder, 0, len(current.entries)+1)
	for i, entry := range current.entries {
		if i != at {
			next = append(next, entry)
		}
	}
	next = append(next, stored)
	return holders{entries: next[max(0, len(next)-shardEntries):]}
}

// withoutEvicted ignores an event that is older than the last use of the prefix at that server.
func (current holders) withoutEvicted(evicted holder) holders {
	next := slices.DeleteFunc(slices.Clone(current.entries), func(other holder) bool {
		return other.hash == evicted.hash && other.server == evicted.server && !other.at.After(evicted.at)
	})
	return holders{entries: next}
}

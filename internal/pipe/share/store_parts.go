package share

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

// errOtherBase reports that a difference does not apply to the list of servers that this entry has.
var errOtherBase = errors.New("share: the difference belongs to another list of servers")

// maxServerLists is the number of recent lists of servers that an entry keeps, so that it can send the difference
// to a peer that has one of them. A peer lags by a few changes at most.
const maxServerLists = 8

// StorePart is one part of the store's data, either the configuration or the list of servers.
type StorePart[T any] struct {
	// Content is the encoded data.
	Content []byte
	// Digest is the xxhash of Content.
	Digest  uint64
	Decoded T
	// Version is that of a configuration, 0 for the list of servers.
	Version int64
}

// MergeRoutes merges a configuration that was the latest at currentAt, a time of the boot clock. One of a lower version than the
// entry's does not replace it, see [directory.Snapshot.Merge].
//
// An error means that the content was invalid and the state is unchanged.
func (sharedState *SharedState) MergeRoutes(revision int64, currentAt time.Duration, content []byte) error {
	part, err := sharedState.routesPart(content)
	if err != nil {
		return err
	}
	sharedState.routesPacker.add(part.Digest, part.Content)
	if merged := mergePart(sharedState, sharedState.routes, revision, currentAt, part); merged.Value.Version > part.Version {
		sharedState.supersededRoutes.Store(part)
	}
	return nil
}

// mergeReadRoutes is [SharedState.MergeRoutes] for a configuration that this entry has read from the store. If a restored store has one of a
// lower version, the entry's own gets the orders and records of roll-outs that were read, which have no part in that version.
func (sharedState *SharedState) mergeReadRoutes(revision int64, currentAt time.Duration, content []byte) error {
	part, err := sharedState.routesPart(content)
	if err != nil {
		return err
	}
	if current := sharedState.routes.Load(); current.Version > part.Version {
		// An operator's document may have a field of its own with the name of the items. The copy then stays as it is.
		if kept, err := sharedState.codec.WithRolloutsOf(current.Value.Content, content); err == nil {
			if err := sharedState.MergeRoutes(revision, currentAt, kept); err != nil {
				return err
			}
		}
	}
	return sharedState.MergeRoutes(revision, currentAt, content)
}

// routesPart returns a configuration, which is decoded only if it is neither the current nor the superseded one.
func (sharedState *SharedState) routesPart(content []byte) (StorePart[route.Table], error) {
	if part := sharedState.supersededRoutes.Load(); part.Content != nil && part.Digest == xxhash.Sum64(content) {
		return part, nil
	}
	part, err := storePart(sharedState.routes.Load(), content, sharedState.codec.Routes)
	part.Version = part.Decoded.Version()
	return part, err
}

// confirmRoutesOfRestore records that a restored store had no configuration at all at currentAt, at a revision. The entry's copy
// counts as the latest then, as if the store had one of a lower version. It changes nothing in the era of the copy, in which an
// operator may have removed the configuration.
func (sharedState *SharedState) confirmRoutesOfRestore(revision int64, currentAt time.Duration) {
	current := sharedState.routes.Load()
	if current.Revision > 0 && directory.Era(revision) > directory.Era(current.Revision) {
		mergePart(sharedState, sharedState.routes, current.Revision, currentAt, current.Value)
	}
}

// MergeServers merges a list of servers that was the latest at currentAt, a time of the boot clock.
//
// An error means that the content was invalid and the state is unchanged.
func (sharedState *SharedState) MergeServers(revision int64, currentAt time.Duration, content []byte) error {
	part, err := storePart(sharedState.serverList.Load(), content, sharedState.codec.Servers)
	if err != nil {
		return err
	}
	sharedState.mergeServerList(revision, currentAt, part)
	return nil
}

// mergeServerDelta merges a list of servers that a peer sent as the difference to the list with the digest base.
//
// It changes nothing and returns an error if this entry's list is another one, or if the result is not the peer's list.
func (sharedState *SharedState) mergeServerDelta(read CachedRead, currentAt time.Duration) error {
	current := sharedState.serverList.Load().Value
	if current.Digest != read.DeltaBase {
		return errOtherBase
	}
	servers := read.Delta.Applied(current.Decoded)
	content, err := sharedState.codec.EncodeServers(servers)
	if err != nil {
		return err
	}
	part := StorePart[[]directory.Server]{Content: content, Digest: xxhash.Sum64(content), Decoded: servers}
	if part.Digest != read.Digest {
		return errOtherBase
	}
	sharedState.mergeServerList(read.Revision, currentAt, part)
	return nil
}

// mergeServerList stores a list of servers that was the latest at currentAt, unless a later one is stored already.
func (sharedState *SharedState) mergeServerList(revision int64, currentAt time.Duration, part StorePart[[]directory.Server]) {
	sharedState.serversPacker.add(part.Digest, part.Content)
	snapshot := mergePart(sharedState, sharedState.serverList, revision, currentAt, part)
	sharedState.serverLists.Update(func(lists []StorePart[[]directory.Server]) []StorePart[[]directory.Server] {
		if count := len(lists); count > 0 && lists[count-1].Digest == snapshot.Value.Digest {
			return lists
		}
		recent := lists[max(0, len(lists)-maxServerLists+1):]
		return append(recent[:len(recent):len(recent)], snapshot.Value)
	})
	listing := sharedState.listing()
	sharedState.servers.Update(func(servers directory.Servers) directory.Servers { return servers.WithSnapshot(listing) })
}

// confirmRoutes and confirmServers record that the content with a digest was the latest at currentAt. They change
// nothing if this entry has another content by now.
func (sharedState *SharedState) confirmRoutes(read CachedRead, currentAt time.Duration) {
	if part := sharedState.routes.Load().Value; part.Digest == read.Digest {
		mergePart(sharedState, sharedState.routes, read.Revision, currentAt, part)
	}
}

func (sharedState *SharedState) confirmServers(read CachedRead, currentAt time.Duration) {
	if part := sharedState.serverList.Load().Value; part.Digest == read.Digest {
		sharedState.mergeServerList(read.Revision, currentAt, part)
	}
}

// listing returns the list of servers as a snapshot.
func (sharedState *SharedState) listing() directory.Snapshot[[]directory.Server] {
	snapshot := sharedState.serverList.Load()
	return directory.Snapshot[[]directory.Server]{Revision: snapshot.Revision, CurrentAt: snapshot.CurrentAt, Value: snapshot.Value.Decoded}
}

// storePart returns the store part with a content, which is decoded only if the current content is another one.
func storePart[T any](current directory.Snapshot[StorePart[T]], content []byte, decode func([]byte) (T, error)) (StorePart[T], error) {
	digest := xxhash.Sum64(content)
	if current.Revision > 0 && digest == current.Value.Digest {
		return current.Value, nil
	}
	decoded, err := decode(content)
	if err != nil {
		return StorePart[T]{}, err
	}
	return StorePart[T]{Content: content, Digest: digest, Decoded: decoded}, nil
}

// mergePart merges a read into the cell of a store part, and requests a round of exchanges if the content has changed.
func mergePart[T any](
	sharedState *SharedState, cell *rcu.Cell[directory.Snapshot[StorePart[T]]], revision int64, currentAt time.Duration, part StorePart[T],
) directory.Snapshot[StorePart[T]] {
	snapshot := directory.Snapshot[StorePart[T]]{Revision: revision, Version: part.Version, CurrentAt: currentAt, Value: part}
	next, changed := rcu.Apply(cell, func(current directory.Snapshot[StorePart[T]]) (directory.Snapshot[StorePart[T]], bool) {
		merged := current.Merge(snapshot)
		return merged, current.Revision == 0 || merged.Value.Digest != current.Value.Digest
	})
	if changed {
		sharedState.RequestRound()
	}
	return next
}

package share

import "github.com/rosemaryspar/rosemaryspar/internal/decide/directory"

// routesFor returns this entry's copy of the configuration for a peer. If the peer's copy is older and different, it has the
// content, packed against that copy if this entry still knows it.
func (sharedState *SharedState) routesFor(peerRead CachedRead) CachedRead {
	current := sharedState.routes.Load()
	cached := cachedReadFor(sharedState, current)
	if !lacksRoutes(current.Revision, current.Value.Digest, peerRead) {
		return cached
	}
	return cached.withPacked(sharedState.routesPacker.pack(current.Value.Digest, peerRead.Digest))
}

// serversFor returns this entry's copy of the list of servers for a peer. If the peer's copy is older and different, it
// has the difference to that copy, or the packed content if this entry does not know that copy any more.
func (sharedState *SharedState) serversFor(peerRead CachedRead) CachedRead {
	current := sharedState.serverList.Load()
	cached := cachedReadFor(sharedState, current)
	if !lacks(current.Revision, current.Value.Digest, peerRead) {
		return cached
	}
	for _, part := range sharedState.serverLists.Load() {
		if peerRead.Digest == 0 || part.Digest != peerRead.Digest {
			continue
		}
		delta := directory.NewDelta(part.Decoded, current.Value.Decoded)
		if delta.Size() <= len(current.Value.Decoded)/2 {
			cached.Delta, cached.DeltaBase = &delta, part.Digest
			return cached
		}
	}
	return cached.withPacked(sharedState.serversPacker.pack(current.Value.Digest, 0))
}

// routesCopy and serversCopy return this entry's copies without their contents.
func (sharedState *SharedState) routesCopy() CachedRead {
	return cachedReadFor(sharedState, sharedState.routes.Load())
}

func (sharedState *SharedState) serversCopy() CachedRead {
	return cachedReadFor(sharedState, sharedState.serverList.Load())
}

// cachedReadFor returns a snapshot for a peer without the content.
func cachedReadFor[T any](sharedState *SharedState, snapshot directory.Snapshot[StorePart[T]]) CachedRead {
	return CachedRead{Revision: snapshot.Revision, Age: snapshot.Age(sharedState.clock.Now()), Digest: snapshot.Value.Digest}
}

// withPacked returns the read with packed content, which has the digest of the read.
func (read CachedRead) withPacked(packed packedContent) CachedRead {
	read.Packed, read.PackedBase = packed.bytes, packed.base
	return read
}

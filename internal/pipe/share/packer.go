package share

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// maxBases is the number of recent contents of one part of the store that an entry keeps, so that it can pack the next one
// against the copy of a peer and unpack what was packed against its own. Each may be as long as a value of the store, 1 MB.
const maxBases = 3

// packedContent is a compressed content. If base is not 0, it is compressed against the content with that digest.
type packedContent struct {
	bytes []byte
	base  uint64
}

// base is a content by its digest, with what has been packed of it.
type base struct {
	digest  uint64
	content []byte
	// packed are the results of packing this content, by the digest of the base, 0 for none.
	packed *sync.Map
}

// packer compresses the contents of one part of the store for peers, and unpacks those of peers. It packs each content once
// for all peers that have the same base. It is safe for concurrent use.
type packer struct {
	codec Codec
	// bases are the latest contents, oldest first.
	bases *rcu.Cell[[]base]
}

func newPacker(codec Codec) *packer { return &packer{codec: codec, bases: rcu.New[[]base](nil)} }

// add keeps a content that this entry has read or received.
func (packer *packer) add(digest uint64, content []byte) {
	if _, known := packer.find(digest); known {
		return
	}
	packer.bases.Update(func(bases []base) []base {
		if slices.ContainsFunc(bases, func(base base) bool { return base.digest == digest }) {
			return bases
		}
		recent := bases[max(0, len(bases)-maxBases+1):]
		return append(recent[:len(recent):len(recent)], base{digest: digest, content: content, packed: &sync.Map{}})
	})
}

// find returns the content with a digest, or false if it is not kept.
func (packer *packer) find(digest uint64) (base, bool) {
	bases := packer.bases.Load()
	i := slices.IndexFunc(bases, func(base base) bool { return base.digest == digest })
	if i < 0 {
		return base{}, false
	}
	return bases[i], true
}

// pack returns the kept content with a digest, compressed against the one with the digest of a peer's copy if that is kept
// as well. It returns nothing if the content is no longer kept, since a newer one has replaced it.
func (packer *packer) pack(digest, peerDigest uint64) packedContent {
	current, known := packer.find(digest)
	if !known {
		return packedContent{}
	}
	peerBase, known := packer.find(peerDigest)
	if !known {
		peerBase = base{}
	}
	// The first call packs, and all others wait for it: a change is pushed to many peers at once.
	once, _ := current.packed.LoadOrStore(peerBase.digest, sync.OnceValue(func() packedContent {
		bytes, err := packer.codec.Pack(current.content, peerBase.content)
		if err != nil {
			return packedContent{}
		}
		return packedContent{bytes: bytes, base: peerBase.digest}
	}))
	return once.(func() packedContent)()
}

// unpack returns the content of a peer's read, or an error if this entry lacks the base or the content is another one. A content
// that is kept is not unpacked again: an aggregator gets a change from each of the others.
func (packer *packer) unpack(read CachedRead) ([]byte, error) {
	if known, ok := packer.find(read.Digest); ok {
		return known.content, nil
	}
	var peerBase base
	if read.PackedBase != 0 {
		known := false
		if peerBase, known = packer.find(read.PackedBase); !known {
			return nil, errOtherBase
		}
	}
	content, err := packer.codec.Unpack(read.Packed, peerBase.content)
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(content) != read.Digest {
		return nil, errOtherBase
	}
	return content, nil
}

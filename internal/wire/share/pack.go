package share

import (
	"github.com/klauspost/compress/zstd"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
)

const (
	// packWindowBytes bounds how far a repetition may lie back, and so the largest content that is compressed against a base
	// as a whole. The platform's store holds values of up to 1 MB.
	packWindowBytes = 4 << 20
	// baseDictionary is the number by which a frame refers to its base.
	baseDictionary = 1
)

// Pack compresses content. With a base, which the receiver needs to unpack it, the result is about as long as what differs.
func Pack(content, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindowBytes), zstd.WithEncoderCRC(false),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseDictionary, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fault.Wrap(err, StepShare, "")
	}
	return encoder.EncodeAll(content, nil), nil
}

// Unpack returns the content that [Pack] compressed against the same base. It fails if the content is longer than a message
// may be, so that a faulty peer cannot exhaust the memory.
func Unpack(packed, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMessageBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseDictionary, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fault.Wrap(err, StepShare, "")
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(packed, nil)
	return content, fault.Wrap(err, StepShare, "")
}

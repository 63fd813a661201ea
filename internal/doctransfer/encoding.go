package doctransfer

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// MaxContentBytes bounds the length of a content. It fits into a message between hosts.
const MaxContentBytes = 8 << 20

// ErrCorrupt means that received bytes are not what a control host has confirmed.
var ErrCorrupt = errors.New("doctransfer: content is not what was confirmed")

// Digest identifies a content. The zero value stands for none.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a content.
func DigestOf(content []byte) Digest { return sha256.Sum256(content) }

// ParseDigest returns the digest with these bytes. Bytes of another length are none.
func ParseDigest(b []byte) (d Digest) {
	if len(b) == len(d) {
		copy(d[:], b)
	}
	return d
}

// Bytes returns the digest for a message, nil for none.
func (d Digest) Bytes() []byte {
	if d == (Digest{}) {
		return nil
	}
	return d[:]
}

const (
	// baseID is the ID of the base of a delta in its frame.
	baseID = 1
	// minWindowBytes and maxWindowBytes bound how far back a form refers.
	minWindowBytes = 64 << 10
	maxWindowBytes = 16 << 20
	// decoderReserveBytes is the memory of a decoder beyond the content and its base.
	decoderReserveBytes = 1 << 20
)

// encode returns the compressed form of a content, as a delta if base is not nil. Encoders
// are not kept: one takes as much memory as the two contents together, and is needed once
// for each change.
func encode(base, content []byte) ([]byte, error) {
	window := min(max(minWindowBytes, 1<<bits.Len(uint(len(base)+len(content)))), maxWindowBytes)
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(window)}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("doctransfer: compress: %w", err)
	}
	encoded := w.EncodeAll(content, nil)
	return encoded, w.Close()
}

// decode returns the content of a form, which must have the given length and digest.
func decode(base, encoded []byte, length int, digest Digest) ([]byte, error) {
	if length < 0 || length > MaxContentBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrCorrupt, length)
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(length + len(base) + decoderReserveBytes))}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("doctransfer: decompress: %w", err)
	}
	defer r.Close()
	content, err := r.DecodeAll(encoded, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	if len(content) != length || DigestOf(content) != digest {
		return nil, fmt.Errorf("%w: %d bytes with another digest", ErrCorrupt, len(content))
	}
	return content, nil
}

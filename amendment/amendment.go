package amendment

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

const (
	// MaxText is the size of the longest text that is amended, in bytes: encoding takes memory of
	// several times that size.
	MaxText = 4 << 20
	// minText is the size of the shortest text of which a Series makes amendments, in bytes: a short one
	// is quickly sent whole.
	minText = 128 << 10
	// minWindow is the smallest window, in bytes.
	minWindow = 64 << 10
	// dictionaryID is the same for every text; the Digest tells which one it is.
	dictionaryID = 1
)

// ErrTooLong says that a text is longer than MaxText.
var ErrTooLong = errors.New("text is too long to be amended")

// Digest identifies a text.
func Digest(text []byte) uint64 {
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}

// Make returns the text as its difference from the base. It returns ErrTooLong if either is longer than
// MaxText.
func Make(base, text []byte) ([]byte, error) {
	if max(len(base), len(text)) > MaxText {
		return nil, fmt.Errorf("Make: %w", ErrTooLong)
	}
	// Faster levels don't find the routes among thousands of others that are nearly the same.
	w, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window(base, text)), zstd.WithEncoderDictRaw(dictionaryID, base))
	if err != nil {
		return nil, fmt.Errorf("Make: %w", err)
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(text, nil), nil
}

// Apply returns the text of which an amendment is the difference from the base. It returns an error if
// the amendment is broken, is of another base, or is of a text longer than MaxText.
func Apply(base, amendment []byte) ([]byte, error) {
	if len(base) > MaxText {
		return nil, fmt.Errorf("Apply: %w", ErrTooLong)
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderDictRaw(dictionaryID, base),
		zstd.WithDecoderMaxMemory(MaxText), zstd.WithDecoderMaxWindow(4*MaxText))
	if err != nil {
		return nil, fmt.Errorf("Apply: %w", err)
	}
	defer r.Close()
	text, err := r.DecodeAll(amendment, nil)
	if err != nil {
		return nil, fmt.Errorf("Apply: %w", err)
	}
	return text, nil
}

// window returns a window in which the whole base can be referred to from the end of the text.
func window(base, text []byte) int {
	return max(1<<bits.Len(uint(len(base)+len(text))), minWindow)
}

package vanillalug

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ChatKey names a chat within the whole fleet, without its text.
type ChatKey uint64

// NewChatKey returns the key of a chat that the caller named.
func NewChatKey(workspace, chat string) ChatKey {
	return ChatKey(hashParts("named", workspace, chat))
}

// OpeningChatKey returns the key of a chat that the caller did not name,
// from the model and the messages that open it.
func OpeningChatKey(workspace, model string, opening ...string) ChatKey {
	return ChatKey(hashParts(append([]string{"opening", workspace, model}, opening...)...))
}

// String returns the key as 16 hexadecimal digits.
func (k ChatKey) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// ParseChatKey reads what String wrote.
func ParseChatKey(s string) (ChatKey, error) {
	var k uint64
	if len(s) != 16 {
		return 0, fmt.Errorf("ParseChatKey: %q: want 16 hexadecimal digits", s)
	}
	if _, err := fmt.Sscanf(s, "%016x", &k); err != nil {
		return 0, fmt.Errorf("ParseChatKey: %q: %w", s, err)
	}
	return ChatKey(k), nil
}

// hashParts hashes the parts so that no two lists of parts share their bytes.
func hashParts(parts ...string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(p))
		_, _ = h.WriteString(p)
	}
	return h.Sum64()
}

package vanillalug

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ChatKey is a 64-bit hash that identifies a chat across the fleet without its
// text.
type ChatKey uint64

// NewChatKey returns the key of a chat for which the caller gave a name.
func NewChatKey(workspace, chat string) ChatKey {
	return ChatKey(hashParts("named", workspace, chat))
}

// OpeningChatKey returns the key of a chat for which the caller gave no name,
// derived from the model and its opening messages.
func OpeningChatKey(workspace, model string, opening ...string) ChatKey {
	return ChatKey(hashParts(append([]string{"opening", workspace, model}, opening...)...))
}

// String returns the key as 16 hexadecimal digits.
func (k ChatKey) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// ParseChatKey parses the format of ChatKey.String.
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

// hashParts hashes each part after its length, so that no two lists of parts
// give the hash the same input.
func hashParts(parts ...string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(p))
		_, _ = h.WriteString(p)
	}
	return h.Sum64()
}

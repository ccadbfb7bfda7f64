package size

import (
	"time"

	"vanillalug.example"
	"vanillalug.example/dispatch"
)

// CacheIndex is the cost of the index of cached chats of one engine: heap bytes
// and processor time of one lookup.
type CacheIndex struct {
	Memory int64
	Lookup time.Duration
}

const lookups = 200_000

// MeasureCacheIndex fills a cache index and looks chats up in it.
func MeasureCacheIndex(chats int) CacheIndex {
	before := heap()
	index := dispatch.NewCacheIndex(2 * chats)
	for i := range chats {
		index.Handle(dispatch.Admitted{Chat: chatKey(i)})
	}
	memory := heap() - before
	cpu := processorTime()
	for i := range lookups {
		index.Handle(dispatch.Lookup{Chat: chatKey(i % chats), Returning: true, Next: "other"})
	}
	lookup := (processorTime() - cpu) / lookups
	return CacheIndex{Memory: memory, Lookup: lookup}
}

// chatKey returns keys that are spread over the key space, as hashes are.
func chatKey(i int) vanillalug.ChatKey {
	return vanillalug.ChatKey(uint64(i+1) * 0x9e3779b97f4a7c15)
}

package size

import (
	"time"

	"vanillalug.example"
	"vanillalug.example/dispatch"
)

// CacheIndex is what the memory of chats costs at one engine.
type CacheIndex struct {
	Memory int64
	Lookup time.Duration
}

const asks = 200_000

// MeasureCacheIndex fills a keeper and asks it.
func MeasureCacheIndex(chats int) CacheIndex {
	before := heap()
	k := dispatch.NewCacheIndex(2 * chats)
	for i := range chats {
		k.Handle(dispatch.Admitted{Chat: spread(i)})
	}
	memory := heap() - before
	cpu := processorTime()
	for i := range asks {
		k.Handle(dispatch.Lookup{Chat: spread(i % chats), Returning: true, Next: "other"})
	}
	ask := (processorTime() - cpu) / asks
	return CacheIndex{Memory: memory, Lookup: ask}
}

// spread returns chat keys that lie apart, as hashes do.
func spread(i int) vanillalug.ChatKey {
	return vanillalug.ChatKey(uint64(i+1) * 0x9e3779b97f4a7c15)
}

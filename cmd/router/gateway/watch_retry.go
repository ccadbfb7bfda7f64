package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"vanillalug.example"
	"vanillalug.example/platform"
)

// mustReadWhole reports whether an error of a poll since a revision means that the
// changes since then can't be had, as the store has dropped them or was restored.
func mustReadWhole(err error, since vanillalug.StoreRevision) bool {
	var compacted *platform.CompactedError
	if errors.As(err, &compacted) {
		return true
	}
	var other *platform.EpochError
	return errors.As(err, &other) && other.Epoch > since.Epoch()
}

func (w *watcher) retryBackoff() time.Duration {
	maxDelay := maxRetryDelay
	switch {
	case w.knownRevision().IsZero():
		maxDelay = maxInitialRetryDelay
	case !w.g.followsStore():
		maxDelay = maxIdleRetryDelay
	}
	d := min(retryDelay<<min(w.failures-1, maxDoublings), maxDelay)
	return d/2 + rand.N(d)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

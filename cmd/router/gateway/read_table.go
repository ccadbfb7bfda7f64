package gateway

import (
	"context"

	"vanillalug.example/platform"
	"vanillalug.example/reception"
)

// readTable reads the whole table. After a failure the next call continues at the
// page that failed: many routers that start over would overload the store.
func (w *watcher) readTable(ctx context.Context) error {
	now := w.g.clock.Now()
	if w.reader == nil || now.Sub(w.readStart) > maxTableReadTime {
		w.reader = w.newReader()
		w.readStart = now
	}
	if err := readPages(ctx, w.reader); err != nil {
		return err
	}
	rows := w.reader.Rows()
	w.reader = nil
	w.recordSuccess(rows)
	w.onSnapshot(rows)
	return nil
}

// readPages reads the remaining pages.
func readPages(ctx context.Context, r *platform.TableReader) error {
	for !r.Done() {
		if err := readPage(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

func readPage(ctx context.Context, r *platform.TableReader) error {
	ctx, cancel := reception.WithIdleTimeout(ctx, pageTimeout, pageTimeout)
	defer cancel()
	return r.Next(ctx)
}

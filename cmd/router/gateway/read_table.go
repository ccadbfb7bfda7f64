package gateway

import (
	"context"

	"vanillalug.example/platform"
)

// readTable reads the whole table. After a failure the next call goes on at the
// page that failed, as many routers that all begin again would choke the store.
func (w *watcher) readTable(ctx context.Context) error {
	now := w.g.clock.Now()
	if w.reading == nil || now.Sub(w.begun) > maxReadingTime {
		w.reading = w.read()
		w.begun = now
	}
	if err := readPages(ctx, w.reading); err != nil {
		return err
	}
	rows := w.reading.Rows()
	w.reading = nil
	w.succeeded(rows)
	w.listed(rows)
	return nil
}

// readPages reads the pages that are left.
func readPages(ctx context.Context, r *platform.TableReader) error {
	for !r.Done() {
		if err := readPage(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

func readPage(ctx context.Context, r *platform.TableReader) error {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return r.Next(ctx)
}

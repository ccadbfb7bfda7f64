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
	for !w.reader.Done() {
		if err := w.readPage(ctx); err != nil {
			return err
		}
	}
	rows := w.reader.Rows()
	w.reader = nil
	w.recordSuccess(rows)
	w.onSnapshot(rows)
	w.reportCurrent()
	return nil
}

func (w *watcher) readPage(ctx context.Context) error {
	ctx, cancel := pageContext(ctx)
	defer cancel()
	w.startCall(ctx)
	defer w.endCall()
	return w.reader.Next(ctx)
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
	ctx, cancel := pageContext(ctx)
	defer cancel()
	return r.Next(ctx)
}

func pageContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return reception.WithIdleTimeout(ctx, pageTimeout, pageTimeout)
}

package gateway

import (
	"context"

	"vanillalug.example/reception"
)

// interrupt cancels the call in progress, so that the store is polled at once. A call
// whose response is arriving goes on.
func (w *watcher) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil && (w.call == nil || !reception.Receiving(w.call)) {
		w.cancel(errInterrupted)
	}
}

// cancelPoll cancels a poll in progress, also one whose response is arriving: a peer has
// sent what it would return.
func (w *watcher) cancelPoll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.call != nil {
		w.cancel(errInterrupted)
	}
}

// receiving reports whether a response is arriving.
func (w *watcher) receiving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.call != nil && reception.Receiving(w.call)
}

// startCall records the context of the call in progress, which endCall clears.
func (w *watcher) startCall(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.call = ctx
}

func (w *watcher) endCall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.call = nil
}

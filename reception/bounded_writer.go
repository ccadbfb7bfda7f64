package reception

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// logLinesPerSecond and logBurst bound the volume of logs.
	logLinesPerSecond = 200
	logBurst          = 2000
	// logQueue is how many lines wait for an output that is slow.
	logQueue = 1024
	// leftOutInterval is the time between two lines that count what was left out.
	leftOutInterval = 5 * time.Second
)

// BoundedWriter writes lines to an output without ever blocking its callers.
// Lines beyond a rate, and those that a slow output does not take, are left
// out and counted.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	written atomic.Uint64
	dropped atomic.Uint64
	told    uint64

	once sync.Once
	stop chan struct{}
	done chan struct{}
}

// NewBoundedWriter returns a writer of lines to the output.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		out:   out,
		lines: make(chan []byte, logQueue),
		limit: rate.NewLimiter(logLinesPerSecond, logBurst),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes a line; it never blocks and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Written returns the number of lines that were written.
func (w *BoundedWriter) Written() uint64 { return w.written.Load() }

// Dropped returns the number of lines that were left out.
func (w *BoundedWriter) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the lines so far are written, but not longer than the
// time. Lines that come later are left out.
func (w *BoundedWriter) Close(limit time.Duration) {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	last := time.Now()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			w.drain()
			return
		}
		if time.Since(last) >= leftOutInterval {
			last = time.Now()
			w.tell()
		}
	}
}

func (w *BoundedWriter) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
		return
	}
	w.written.Add(1)
}

// drain writes what waits and what was left out.
func (w *BoundedWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			w.tell()
			return
		}
	}
}

// tell writes how many lines were left out since it was last told.
func (w *BoundedWriter) tell() {
	n := w.dropped.Load()
	if n == w.told {
		return
	}
	if _, err := fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines left out\",\"lines\":%d}\n", n-w.told); err == nil {
		w.told = n
	}
}

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
	// logLinesPerSecond and logBurst limit the volume of logs.
	logLinesPerSecond = 200
	logBurst          = 2000
	// logQueueSize is the number of lines queued for a slow output.
	logQueueSize = 1024
	// dropReportInterval is the minimum time between two lines that report the
	// number of dropped lines.
	dropReportInterval = 5 * time.Second
)

// BoundedWriter writes lines to an output without ever blocking its callers.
// Lines beyond a rate limit, and lines for which the queue of a slow output is
// full, are dropped and counted.
type BoundedWriter struct {
	out      io.Writer
	lines    chan []byte
	limiter  *rate.Limiter
	written  atomic.Uint64
	dropped  atomic.Uint64
	reported uint64

	once sync.Once
	stop chan struct{}
	done chan struct{}
}

// NewBoundedWriter returns a writer of lines to the output and starts its
// goroutine.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		out:     out,
		lines:   make(chan []byte, logQueueSize),
		limiter: rate.NewLimiter(logLinesPerSecond, logBurst),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line; it never blocks and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
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

// Written returns the number of lines written to the output.
func (w *BoundedWriter) Written() uint64 { return w.written.Load() }

// Dropped returns the number of lines that were dropped.
func (w *BoundedWriter) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the queued lines are written, but not longer than the
// timeout. Lines that are written later are lost.
func (w *BoundedWriter) Close(timeout time.Duration) {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(timeout):
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
		if time.Since(last) >= dropReportInterval {
			last = time.Now()
			w.reportDropped()
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

// drain writes the queued lines and reports the dropped ones.
func (w *BoundedWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			w.reportDropped()
			return
		}
	}
}

// reportDropped writes how many lines were dropped since the last report.
func (w *BoundedWriter) reportDropped() {
	n := w.dropped.Load()
	if n == w.reported {
		return
	}
	if _, err := fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines left out\",\"lines\":%d}\n", n-w.reported); err == nil {
		w.reported = n
	}
}

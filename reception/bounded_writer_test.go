package reception

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	free chan struct{}
	text bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.text.Write(p)
}

// TestBoundedWriterNeverBlocks: an output that takes nothing holds up nobody,
// and what is left out is counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	w := NewBoundedWriter(out)
	begin := time.Now()
	for range 10000 {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Less(t, time.Since(begin), time.Second)
	require.GreaterOrEqual(t, w.Dropped(), uint64(10000-logBurst-10*logLinesPerSecond))
	close(out.free)
	w.Close(5 * time.Second)
	require.Contains(t, out.text.String(), "log lines left out")
	require.Equal(t, w.Written(), uint64(strings.Count(out.text.String(), "line\n")))
	require.Equal(t, uint64(10000), w.Written()+w.Dropped())
}

// TestBoundedWriterAfterFlush: parts of a program that still write while it
// ends do it no harm.
func TestBoundedWriterAfterFlush(t *testing.T) {
	w := NewBoundedWriter(io.Discard)
	w.Close(time.Second)
	w.Close(time.Second)
	for range 2 * logQueue {
		_, err := w.Write([]byte("late\n"))
		require.NoError(t, err)
	}
}

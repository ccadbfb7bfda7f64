package reception

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// TestBoundedWriterNeverBlocks checks that an output that blocks does not block
// the callers of Write, and that dropped lines are counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	begin := time.Now()
	for range 10000 {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Less(t, time.Since(begin), time.Second)
	require.GreaterOrEqual(t, w.Dropped(), uint64(10000-logBurst-10*logLinesPerSecond))
	close(out.release)
	w.Close(5 * time.Second)
	require.Contains(t, out.text.String(), "log lines left out")
	require.Equal(t, w.Written(), uint64(strings.Count(out.text.String(), "line\n")))
	require.Equal(t, uint64(10000), w.Written()+w.Dropped())
}

// TestBoundedWriterAfterClose checks that writes after Close do not panic:
// goroutines of a program may still log while it exits.
func TestBoundedWriterAfterClose(t *testing.T) {
	w := NewBoundedWriter(io.Discard)
	w.Close(time.Second)
	w.Close(time.Second)
	for range 2 * logQueueSize {
		_, err := w.Write([]byte("late\n"))
		require.NoError(t, err)
	}
}

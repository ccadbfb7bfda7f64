package reception

import (
	"errors"
	"io"
	"syscall"
)

// ConnectionEnded reports whether an error says that the other side closed or reset the connection, as
// that of a process that has crashed is.
func ConnectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

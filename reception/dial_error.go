package reception

import (
	"errors"
	"net"
)

// IsDialError reports whether a request failed because its connection could not
// be opened, which proves that no byte of it was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

package reception

import (
	"errors"
	"net"
)

// IsDialError reports whether the error of a request proves that no byte of it
// was sent: the connection could not be opened.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

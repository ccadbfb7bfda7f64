package reception

import (
	"errors"
	"net"
)

// NeverSent reports whether the error of a request proves that no byte of it
// was sent: the connection could not be opened.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

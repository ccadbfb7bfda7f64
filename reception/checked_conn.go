package reception

import (
	"net"
)

// checkedConn checks the head of the first response on a connection; of later ones the client checks
// what it parsed, as their first byte can't be told from the connection alone.
type checkedConn struct {
	net.Conn
	check HeadCheck
}

// Read implements net.Conn. It returns a *MalformedHeadError for what is no response.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if malformed := c.check.Feed(b[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

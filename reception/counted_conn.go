package reception

import "net"

// countedConn counts the bytes sent and received on a connection.
type countedConn struct {
	net.Conn
	count ByteCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(0, n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n, 0)
	return n, err
}

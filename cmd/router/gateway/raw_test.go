package gateway

import (
	"io"
	"net"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// raw sends bytes to the router and returns everything that it sends back.
func (s *testRouter) raw(text string) string {
	c, err := net.Dial("tcp4", strings.TrimPrefix(s.entry.URL, "http://"))
	require.NoError(s.t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, text)
	require.NoError(s.t, err)
	require.NoError(s.t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	out, err := io.ReadAll(c)
	require.NoError(s.t, err)
	return string(out)
}

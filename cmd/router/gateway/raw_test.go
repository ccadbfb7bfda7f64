package gateway

import (
	"io"
	"net"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// raw sends bytes to the router and returns everything that it sends back.
func (tr *testRouter) raw(text string) string {
	c, err := net.Dial("tcp4", strings.TrimPrefix(tr.entry.URL, "http://"))
	require.NoError(tr.t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, text)
	require.NoError(tr.t, err)
	require.NoError(tr.t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	out, err := io.ReadAll(c)
	require.NoError(tr.t, err)
	return string(out)
}

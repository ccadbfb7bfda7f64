package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `[router]
name = r1
place = centro

[listen]
callers = 127.0.0.1:8001
peers = 127.0.0.1:8002
operators = 127.0.0.1:8003

[platform]
address = 127.0.0.1:9201
key = p

[keys]
peers = a
operators = b
`

func TestRead(t *testing.T) {
	s, err := Read("r1.ini", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "r1", s.Name())
	require.Equal(t, defaultDrainTimeout, s.DrainTimeout())
	require.Equal(t, defaultMaxBodyBytes, s.MaxBodyBytes())
	require.Equal(t, 2500*time.Millisecond, s.HeadInterval())
}

func TestReadReportsAllErrors(t *testing.T) {
	text := strings.NewReplacer("name = r1", "nam = r1", "127.0.0.1:8002", "localhost", "key = p", "").Replace(validSettings)
	_, err := Read("r1.ini", []byte(text+"\n[limits]\nbody-bytes = 1\n[tims]\n"))
	for _, want := range []string{
		"r1.ini: [router] name: is required",
		"r1.ini: [router] nam: is not a known key",
		`r1.ini: [listen] peers: "localhost": want an IP number and a port`,
		"r1.ini: [platform] key: is required",
		`r1.ini: [limits] body-bytes: "1": want a whole number from 1024 to 67108864`,
		"r1.ini: [tims]: is not a known section",
	} {
		require.ErrorContains(t, err, want)
	}
}

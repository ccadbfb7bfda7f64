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

const validDeployment = `[router]
name = r1
place = a
memory-mb = 136

[listen]
entry = 127.0.0.1:8001
ready = 127.0.0.1:8002
peers = 127.0.0.1:8003
metrics = 127.0.0.1:8004

[store]
address = 127.0.0.1:9201
`

// TestIntakeSettings guards against limits that aren't derived from the memory and the descriptors, and
// against settings that aren't checked.
func TestIntakeSettings(t *testing.T) {
	tests := map[string]struct {
		limits         string
		size           int64
		entry, metrics int
		share          float64
		err            string
	}{
		"derived":         {"", 34 << 20, 1435, 71, 1, ""},
		"set":             {"held-mb = 20\nentry-connections = 7\naddress-share = 50", 20 << 20, 7, 71, 0.5, ""},
		"share too large": {"address-share = 101", 0, 0, 0, 0, "[limits] address-share"},
		"negative rate":   {"body-rate = -1", 0, 0, 0, 0, "[limits] body-rate"},
		"no grace":        {"body-grace = 0s", 0, 0, 0, 0, "[limits] body-grace"},
		"no account":      {"held-mb = 0", 0, 0, 0, 0, "[limits] held-mb"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, err := ReadDeployment("r1.ini", []byte(validDeployment+"[limits]\n"+tt.limits+"\n"))
			if tt.err != "" {
				require.ErrorContains(t, err, tt.err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.size, d.Intake().Limits().Size)
			require.InDelta(t, tt.share, d.Intake().Limits().AddressShare, 0)
			const descriptors = 2870
			require.Equal(t, tt.entry, d.EntryConns(descriptors))
			require.Equal(t, tt.metrics, d.MetricsConns(descriptors))
		})
	}
}

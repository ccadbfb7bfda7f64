package vanillalug

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/form"
	"vanillalug.example/lugtest"
)

const validDocument = `[fleet]
name = duchas
bound = 1.3

[place centro]
region = santiago

[class interactive]
weight = 8

[service bookings]
deadline = 5s

[call crews]
service = bookings
method = GET
path = /crews/*
repeatable = yes

[engine e1]
place = centro
address = 127.0.0.1:9001
models = large, small

[engine e2]
place = centro
address = 127.0.0.1:9002
models = small
slots = 4

[target b1]
service = bookings
place = centro
address = 127.0.0.1:9101

[workspace taller]
key-sha256 = 2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90
class = interactive
models = small
`

func TestReadFleet(t *testing.T) {
	f, err := ReadFleet("fleet.ini", []byte(validDocument))
	require.NoError(t, err)
	require.Equal(t, []string{"large", "small"}, f.Models())
	require.Len(t, f.EnginesFor("small"), 2)
	require.Len(t, f.EnginesFor("large"), 1)
	require.Len(t, f.TargetsFor("bookings"), 1)
	w, ok := f.WorkspaceByKey("alice")
	require.True(t, ok)
	require.Equal(t, "taller", w.Name())
	require.False(t, w.MayUseModel("large"))
	require.True(t, w.MayUseService("bookings"))
	_, ok = f.WorkspaceByKey("bob")
	require.False(t, ok)
}

func TestReadFleetErrors(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     string
	}{
		"unknown place":      {"place = centro\naddress = 127.0.0.1:9001", "place = norte\naddress = 127.0.0.1:9001", `[engine e1] place: "norte" is not a declared place`},
		"unknown service":    {"service = bookings\nplace", "service = ledger\nplace", `[target b1] service: "ledger" is not a declared service`},
		"unknown class":      {"class = interactive\nmodels", "class = batch\nmodels", `[workspace taller] class: "batch" is not a declared class`},
		"model of no engine": {"interactive\nmodels = small", "interactive\nmodels = huge", `[workspace taller] models: "huge" is served by no engine`},
		"bad key":            {"key-sha256 = 2bd8", "key-sha256 = xyz", "[workspace taller] key-sha256: want the SHA-256"},
		"bad bound":          {"bound = 1.3", "bound = 0.5", `[fleet] bound: "0.5": want a number from 1.05 to 10`},
		"bad name":           {"[engine e1]", "[engine E1]", "[engine E1]: want a name of small letters"},
		"bad method":         {"method = GET", "method = get", "[call crews] method: want an HTTP method in capitals"},
		"bad path":           {"path = /crews/*", "path = crews", "[call crews] path: want a path that starts with /"},
		"taken name":         {"[service bookings]", "[service v1]", `[service v1]: "v1" is taken by the chat API`},
		"no models":          {"models = large, small\n", "", "[engine e1] models: is required"},
		"unknown key":        {"slots = 4", "slotz = 4", "[engine e2] slotz: is not a known key"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validDocument, tt.old, tt.new, 1)
			require.NotEqual(t, validDocument, text)
			_, err := ReadFleet("fleet.ini", []byte(text))
			var invalid *form.InvalidFileError
			require.True(t, errors.As(err, &invalid))
			require.Contains(t, err.Error(), "fleet.ini: "+tt.want)
		})
	}
}

func TestReadFleetRejectsSharedKey(t *testing.T) {
	_, workspace, found := strings.Cut(validDocument, "[workspace taller]")
	require.True(t, found)
	text := validDocument + "\n[workspace zweite]" + workspace
	_, err := ReadFleet("fleet.ini", []byte(text))
	require.ErrorContains(t, err, `[workspace zweite] key-sha256: is the key of workspace "taller" too`)
}

func TestReadFleetSizeLimit(t *testing.T) {
	_, err := ReadFleet("fleet.ini", make([]byte, MaxDocumentBytes+1))
	require.ErrorContains(t, err, "want 1048576 at most")
}

// bigDocument returns a document with the given numbers of engines and workspaces.
func bigDocument(engines, workspaces int) []byte {
	var b strings.Builder
	b.WriteString("[fleet]\nname = big\n[place p]\nregion = r\n[class c]\n[service s]\n")
	for i := range engines {
		fmt.Fprintf(&b, "[engine e%d]\nplace = p\naddress = 10.0.0.1:%d\nmodels = m%d\n", i, 1000+i, i%6)
	}
	for i := range workspaces {
		fmt.Fprintf(&b, "[workspace w%d]\nkey-sha256 = %s\nclass = c\n", i, KeyDigest(fmt.Sprint(i)))
	}
	return []byte(b.String())
}

func TestLargeDocumentFitsSizeLimit(t *testing.T) {
	text := bigDocument(600, 400)
	begun := time.Now()
	f, err := ReadFleet("big.ini", text)
	require.NoError(t, err)
	t.Logf("%d bytes, canonical %d, checked in %s", len(text), len(f.Canonical()), time.Since(begun))
	require.Less(t, len(f.Canonical()), MaxDocumentBytes)
}

func TestCanonicalRoundTrip(t *testing.T) {
	lugtest.Check(t, "50", "10", func(t *rapid.T) {
		text := bigDocument(rapid.IntRange(1, 8).Draw(t, "engines"), rapid.IntRange(0, 8).Draw(t, "workspaces"))
		f, err := ReadFleet("a", text)
		require.NoError(t, err)
		again, err := ReadFleet("b", f.Canonical())
		require.NoError(t, err)
		require.Equal(t, string(f.Canonical()), string(again.Canonical()))
		require.Equal(t, f.Digest(), again.Digest())
	})
}

func TestWithLeaving(t *testing.T) {
	f, err := ReadFleet("fleet.ini", []byte(validDocument))
	require.NoError(t, err)
	drained, ok := f.WithLeaving("engine e1")
	require.True(t, ok)
	require.True(t, drained.EnginesFor("large")[0].Leaving())
	require.False(t, f.EnginesFor("large")[0].Leaving())
	require.NotEqual(t, f.Digest(), drained.Digest())
	_, ok = f.WithLeaving("engine e9")
	require.False(t, ok)
}

func TestRetryable(t *testing.T) {
	f, err := ReadFleet("fleet.ini", []byte(validDocument))
	require.NoError(t, err)
	s, _ := f.Service("bookings")
	tests := map[string]struct {
		method, path string
		want         bool
	}{
		"declared":             {"GET", "/crews/7", true},
		"another method":       {"POST", "/crews/7", false},
		"another path":         {"GET", "/deposits/7", false},
		"deeper than declared": {"GET", "/crews/7/days", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, s.Retryable(tt.method, tt.path)) })
	}
	all := Call{method: "GET", path: "/x/**"}
	require.True(t, all.Matches("GET", "/x/1/2"))
}

func TestChatKeys(t *testing.T) {
	named := NewChatKey("taller", "c1")
	require.NotEqual(t, named, NewChatKey("otro", "c1"), "chats of the same name in different workspaces")
	require.NotEqual(t, NewChatKey("a", "bc"), NewChatKey("ab", "c"))
	again, err := ParseChatKey(named.String())
	require.NoError(t, err)
	require.Equal(t, named, again)
	_, err = ParseChatKey("xyz")
	require.Error(t, err)
}

func TestLevelRange(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"good":      {"1-2", ""},
		"reversed":  {"2-1", "lower level first"},
		"no number": {"a-b", "want two levels"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := ParseLevelRange(tt.text)
			if tt.want == "" {
				require.NoError(t, err)
				require.Equal(t, tt.text, r.String())
				return
			}
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func FuzzReadFleet(f *testing.F) {
	f.Add(validDocument)
	f.Fuzz(func(t *testing.T, text string) {
		fleet, err := ReadFleet("fuzz", []byte(text))
		if err != nil {
			return
		}
		_, err = ReadFleet("again", fleet.Canonical())
		require.NoError(t, err)
	})
}

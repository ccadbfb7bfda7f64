package vanillalug

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/form"
)

// twoPlaces is the valid document with rules level 3, a second place, and a service
// whose only target is there.
func twoPlaces(t *testing.T, evacuated ...string) string {
	text := strings.Replace(validDocument, "name = duchas\n", "name = duchas\nrules-level = 3\n", 1)
	text += "\n[place norte]\nregion = santiago\n\n[service ledger]\n\n[target l1]\nservice = ledger\nplace = norte\naddress = 127.0.0.1:9201\n"
	for _, place := range evacuated {
		with := strings.Replace(text, "[place "+place+"]\n", "[place "+place+"]\nevacuated = yes\n", 1)
		require.NotEqual(t, text, with)
		text = with
	}
	return text
}

func readTwoPlaces(t *testing.T, evacuated ...string) *Fleet {
	f, err := ReadFleet("fleet.ini", []byte(twoPlaces(t, evacuated...)))
	require.NoError(t, err)
	return f
}

// TestEvacuatedPlaces guards against places that are evacuated by another's key, and
// against a service or model that is called evacuated while a target of it is in use.
func TestEvacuatedPlaces(t *testing.T) {
	tests := map[string]struct {
		evacuated []string
		service   bool
		model     bool
	}{
		"none":           {nil, false, false},
		"of the service": {[]string{"norte"}, true, false},
		"of the model":   {[]string{"centro"}, false, true},
		"all":            {[]string{"centro", "norte"}, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := readTwoPlaces(t, tt.evacuated...)
			require.Equal(t, tt.evacuated, f.EvacuatedPlaces())
			for _, p := range f.Places() {
				require.Equal(t, p.Evacuated(), f.Evacuated(p.Name()))
			}
			for _, place := range tt.evacuated {
				require.True(t, f.Evacuated(place))
			}
			require.False(t, f.Evacuated("unknown"))
			require.Equal(t, tt.service, f.ServiceEvacuated("ledger"))
			require.Equal(t, tt.model, f.ModelEvacuated("small"))
			require.False(t, f.ServiceEvacuated("unknown"))
		})
	}
}

// TestLeavingIsNotEvacuated guards against a refusal that names evacuated places while the
// targets leave, and against one that doesn't because the last target outside leaves.
func TestLeavingIsNotEvacuated(t *testing.T) {
	leaving, ok := readTwoPlaces(t).WithLeaving("target l1")
	require.True(t, ok)
	require.False(t, leaving.ServiceEvacuated("ledger"))
	text := twoPlaces(t, "norte") + "\n[target l2]\nservice = ledger\nplace = centro\naddress = 127.0.0.1:9202\nstate = leaving\n"
	f, err := ReadFleet("fleet.ini", []byte(text))
	require.NoError(t, err)
	require.True(t, f.ServiceEvacuated("ledger"))
}

// TestEvacuatedCanonical guards against a changed digest of documents without the key,
// which routers of older builds would reject, and against a key that is lost on the way.
func TestEvacuatedCanonical(t *testing.T) {
	// The digest of validDocument, as builds before the key compute it.
	const before = "2bd45bc32fc3e707b00143a851a530532f5255ef8e55273b9ec1a81cb08458af"
	f, err := ReadFleet("fleet.ini", []byte(validDocument))
	require.NoError(t, err)
	require.Equal(t, before, f.Digest())
	no := strings.Replace(validDocument, "[place centro]\n", "[place centro]\nevacuated = no\n", 1)
	f, err = ReadFleet("fleet.ini", []byte(no))
	require.NoError(t, err)
	require.Equal(t, before, f.Digest())
	evacuated := readTwoPlaces(t, "norte")
	require.Contains(t, string(evacuated.Canonical()), "[place norte]\nregion = santiago\nevacuated = yes\n")
	require.NotEqual(t, readTwoPlaces(t).Digest(), evacuated.Digest())
	again, err := ReadFleet("again.ini", evacuated.Canonical())
	require.NoError(t, err)
	require.Equal(t, []string{"norte"}, again.EvacuatedPlaces())
	require.Equal(t, evacuated.Digest(), again.Digest())
}

// TestEvacuatedErrors guards against faults that are reported one at a time, and against
// documents that builds of a lower rules level would have to follow and can't.
func TestEvacuatedErrors(t *testing.T) {
	text := strings.Replace(twoPlaces(t, "norte", "centro"), "rules-level = 3", "rules-level = 2", 1)
	text = strings.Replace(text, "[place centro]\n", "[place sur]\nevacuated = maybe\nregion = r\n\n[place centro]\n", 1)
	_, err := ReadFleet("fleet.ini", []byte(text))
	var invalid *form.InvalidFileError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Errors(), 3)
	require.ErrorContains(t, err, "[place norte] evacuated: want rules-level = 3 in [fleet], got 2")
	require.ErrorContains(t, err, "[place centro] evacuated: want rules-level = 3 in [fleet], got 2")
	require.ErrorContains(t, err, `[place sur] evacuated: "maybe": want yes or no`)
}

// TestWithEvacuated guards against a change of the original document, of other places, or
// of the rules level on the way back.
func TestWithEvacuated(t *testing.T) {
	f, err := ReadFleet("fleet.ini", []byte(validDocument))
	require.NoError(t, err)
	digest := f.Digest()
	evacuated, ok := f.WithEvacuated("centro", true)
	require.True(t, ok)
	require.True(t, evacuated.Evacuated("centro"))
	require.Equal(t, EvacuatedPlaces, evacuated.RulesLevel())
	require.False(t, f.Evacuated("centro"))
	require.Equal(t, digest, f.Digest())
	_, err = ReadFleet("again.ini", evacuated.Canonical())
	require.NoError(t, err)
	restored, ok := evacuated.WithEvacuated("centro", false)
	require.True(t, ok)
	require.False(t, restored.Evacuated("centro"))
	require.Equal(t, EvacuatedPlaces, restored.RulesLevel())
	same, ok := f.WithEvacuated("centro", false)
	require.True(t, ok)
	require.Equal(t, digest, same.Digest())
	_, ok = f.WithEvacuated("nowhere", true)
	require.False(t, ok)
}

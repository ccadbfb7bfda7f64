package amendment

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

// table returns the text of a routing table with n routes, of which each step-th one has the mark.
func table(n, step int, mark string) []byte {
	r := rand.New(rand.NewPCG(1, 2))
	var out bytes.Buffer
	for i := range n {
		name := fmt.Sprintf("%08x", r.Uint32())
		if step > 0 && i%step == 0 {
			name = mark + name
		}
		fmt.Fprintf(&out, `{"name":%q,"host":"%08x.example","prefix":"/%08x/","kind":"idempotent","timeout_ms":1000,"attempts":2},`,
			name, r.Uint32(), r.Uint32())
	}
	return out.Bytes()
}

// TestAmendmentGrowsWithTheChange guards against messages that grow with the whole table in place of
// the change: one in a hundred of the routes is changed, and a hundredth of the text is sent at most.
func TestAmendmentGrowsWithTheChange(t *testing.T) {
	for _, n := range []int{1400, 4200, 10_000, 30_000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			base, text := table(n, 0, ""), table(n, 100, "changed-")
			a, err := Make(base, text)
			require.NoError(t, err)
			require.Less(t, len(a), len(text)/100)
			got, err := Apply(base, a)
			require.NoError(t, err)
			require.Equal(t, text, got)
			require.Equal(t, Digest(text), Digest(got))
		})
	}
}

// TestBrokenAmendments checks that an amendment that is cut, damaged or of another base gives no text
// that passes for the whole.
func TestBrokenAmendments(t *testing.T) {
	base, text := table(500, 0, ""), table(500, 20, "changed-")
	good, err := Make(base, text)
	require.NoError(t, err)
	damaged := bytes.Clone(good)
	damaged[len(damaged)/2] ^= 0xff
	tests := map[string]struct{ base, amendment []byte }{
		"empty base":   {nil, good},
		"another base": {table(500, 10, "other-"), good},
		"cut":          {base, good[:len(good)/2]},
		"damaged":      {base, damaged},
		"no amendment": {base, []byte("text")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Apply(tt.base, tt.amendment)
			require.True(t, err != nil || Digest(got) != Digest(text))
		})
	}
}

// TestLongTexts checks the bound on memory: a text beyond it is neither encoded nor decoded.
func TestLongTexts(t *testing.T) {
	long := make([]byte, MaxText+1)
	_, err := Make(nil, long)
	require.ErrorIs(t, err, ErrTooLong)
	_, err = Make(long, nil)
	require.ErrorIs(t, err, ErrTooLong)
	_, err = Apply(long, nil)
	require.ErrorIs(t, err, ErrTooLong)
}

// TestAmendmentsOfAnyTexts checks that what is applied is what was made.
func TestAmendmentsOfAnyTexts(t *testing.T) {
	lugtest.Check(t, "100", "1", func(t *rapid.T) {
		base := rapid.SliceOf(rapid.Byte()).Draw(t, "base")
		text := append(bytes.Clone(base[:rapid.IntRange(0, len(base)).Draw(t, "kept")]), rapid.SliceOf(rapid.Byte()).Draw(t, "new")...)
		a, err := Make(base, text)
		require.NoError(t, err)
		got, err := Apply(base, a)
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, got))
	})
}

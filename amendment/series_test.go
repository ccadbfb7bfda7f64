package amendment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSeries checks that a text is amended from each of the last ones, and that no others are kept.
func TestSeries(t *testing.T) {
	var s *Series
	var texts [][]byte
	for i := range maxEarlier + 2 {
		texts = append(texts, table(1400+10*i, 0, ""))
		s = NewSeries(texts[i], s)
	}
	newest := texts[len(texts)-1]
	require.Equal(t, Digest(newest), s.Digest())
	for i, text := range texts {
		a, err := s.From(Digest(text))
		require.NoError(t, err)
		if i == 0 {
			require.Nil(t, a, "the oldest is forgotten")
			require.Nil(t, s.Text(Digest(text)))
			continue
		}
		got, err := Apply(s.Text(Digest(text)), a)
		require.NoError(t, err)
		require.Equal(t, newest, got)
	}
}

// TestShortTextsAreSentWhole guards against an encoder's memory for tables that are short anyway.
func TestShortTextsAreSentWhole(t *testing.T) {
	short := table(100, 0, "")
	s := NewSeries(table(110, 0, ""), NewSeries(short, nil))
	a, err := s.From(Digest(short))
	require.NoError(t, err)
	require.Nil(t, a)
}

// TestSeriesOfLongTexts checks that a router whose memory is small doesn't keep several long texts.
func TestSeriesOfLongTexts(t *testing.T) {
	long := make([]byte, MaxText)
	s := NewSeries(long, NewSeries(append([]byte("a"), long[2:]...), NewSeries(append([]byte("b"), long[2:]...), nil)))
	require.Len(t, s.texts, 2)
	s = NewSeries(make([]byte, MaxText+1), s)
	a, err := s.From(Digest(long))
	require.NoError(t, err)
	require.Nil(t, a)
}

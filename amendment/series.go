package amendment

import "sync"

const (
	// maxEarlier is how many earlier texts are kept, and maxEarlierBytes how long they may be together.
	maxEarlier      = 3
	maxEarlierBytes = 4 << 20
)

// Series is a text with the ones before it, and its amendments of them. It is safe for concurrent use.
type Series struct {
	texts []edition // the newest first

	mu         sync.Mutex
	amendments map[uint64][]byte // by the digest of the base
}

type edition struct {
	digest uint64
	text   []byte
}

// NewSeries returns the Series of a text that follows those of another one; nil for none.
func NewSeries(text []byte, before *Series) *Series {
	s := &Series{texts: []edition{{digest: Digest(text), text: text}}, amendments: map[uint64][]byte{}}
	if before == nil {
		return s
	}
	size := 0
	for _, e := range before.texts {
		size += len(e.text)
		if len(s.texts) > maxEarlier || size > maxEarlierBytes {
			break
		}
		s.texts = append(s.texts, e)
	}
	return s
}

// Digest returns the digest of the newest text.
func (s *Series) Digest() uint64 { return s.texts[0].digest }

// Text returns the text with a digest; nil if it isn't known.
func (s *Series) Text(digest uint64) []byte {
	for _, e := range s.texts {
		if e.digest == digest {
			return e.text
		}
	}
	return nil
}

// Adopt keeps an amendment of an earlier text that was received, so that it needn't be made again.
func (s *Series) Adopt(base uint64, difference []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Text(base) != nil {
		s.amendments[base] = difference
	}
}

// From returns the newest text as the difference from the one with a digest; nil if that one isn't
// known or a text is too long.
func (s *Series) From(base uint64) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, made := s.amendments[base]; made {
		return a, nil
	}
	baseText, text := s.Text(base), s.texts[0].text
	if baseText == nil || max(len(baseText), len(text)) > MaxText || len(text) < minText {
		return nil, nil
	}
	a, err := Make(baseText, text)
	if err != nil {
		return nil, err
	}
	s.amendments[base] = a
	return a, nil
}

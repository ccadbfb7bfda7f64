package fitting

// maxDrawn is the largest number of candidates that are drawn for one choice.
const maxDrawn = overloadDraws

// steps records how a choice came about, for Explain. It is part of every choice, so that there is one
// way to choose; it has no more than what the choice computes anyway.
type steps struct {
	rule Rule
	// available are the candidates that take requests; withMemory and admitted those of them that have
	// room; within those under the bound on load; pool those that were drawn from. A step that the
	// choice didn't come to is nil.
	available, withMemory, admitted, within, pool []int
	// drawn are the candidates that were drawn to be compared.
	drawn  [maxDrawn]int
	nDrawn int
}

func (s *steps) addDrawn(i int) {
	if s.nDrawn < maxDrawn {
		s.drawn[s.nDrawn] = i
		s.nDrawn++
	}
}

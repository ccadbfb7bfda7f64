package fitting

// Part is a segment of a prompt that requests may share.
type Part struct {
	id     uint64
	tokens int
}

// NewPart returns a part with the id of its content and its length in tokens.
func NewPart(id uint64, tokens int) Part { return Part{id: id, tokens: tokens} }

// ID returns the id of the content.
func (p Part) ID() uint64 { return p.id }

// Tokens returns the length in tokens.
func (p Part) Tokens() int { return p.tokens }

// maxKVTokens bounds what callers state of a request, so that sums don't overflow.
const maxKVTokens = 1 << 28

// Work describes what a request demands of a model engine.
type Work struct {
	model        string
	parts        []Part
	promptTokens int
	outputTokens int
	// lengthHint is the caller's estimate of the output tokens; 0 if it gave none.
	lengthHint int
}

// NewWork returns the work of a request with a prompt, made of parts, and at
// most the given number of output tokens. The work of a plain service has no
// parts and no tokens.
func NewWork(model string, parts []Part, promptTokens, outputTokens int) Work {
	return Work{model: model, parts: parts, promptTokens: promptTokens, outputTokens: outputTokens}
}

// WithLengthHint returns the work with the caller's estimate of the output tokens; 0 or less
// means that there is none.
func (w Work) WithLengthHint(tokens int) Work {
	w.lengthHint = max(tokens, 0)
	return w
}

// Model returns the model.
func (w Work) Model() string { return w.model }

// Parts returns the parts of the prompt, in order.
func (w Work) Parts() []Part { return w.parts }

// PromptTokens returns the length of the prompt in tokens.
func (w Work) PromptTokens() int { return w.promptTokens }

// OutputTokens returns the maximum number of output tokens.
func (w Work) OutputTokens() int { return w.outputTokens }

// ExpectedOutput returns the expected number of output tokens: the caller's estimate, at most
// the maximum, or the maximum without an estimate.
func (w Work) ExpectedOutput() int {
	if w.lengthHint > 0 && (w.outputTokens == 0 || w.lengthHint < w.outputTokens) {
		return w.lengthHint
	}
	return w.outputTokens
}

// KVTokens returns the tokens that the request is expected to need in the KV cache of an engine
// until it ends, without the shared parts if the engine has them cached; 0 if the length of
// the prompt is unknown.
func (w Work) KVTokens(cached bool) int {
	if w.promptTokens <= 0 {
		return 0
	}
	own := w.promptTokens
	if cached {
		for _, p := range w.SharedParts() {
			own -= p.tokens
		}
	}
	return min(max(own, 0), maxKVTokens) + min(w.ExpectedOutput(), maxKVTokens)
}

// ReusableTokens returns the length of the longest part that requests share. The
// parts before it are shared by more requests and cached nearly everywhere.
func (w Work) ReusableTokens() int {
	n := 0
	for _, p := range w.SharedParts() {
		n = max(n, p.tokens)
	}
	return n
}

// PromptKey returns the key of the shared parts of the prompt, or false if
// nothing is shared.
func (w Work) PromptKey() (uint64, bool) {
	shared := w.SharedParts()
	if len(shared) == 0 {
		return 0, false
	}
	return PromptKey(w.model, shared[len(shared)-1].id), true
}

// PromptKey returns the key of prompts that share all parts up to the one with
// the id. An id identifies the content, so the parts before it don't enter the
// key.
func PromptKey(model string, part uint64) uint64 { return mix(uint64(KeyOf(model)) ^ part) }

// SharedParts returns all parts but the last, which is the request's own.
func (w Work) SharedParts() []Part {
	if len(w.parts) < 2 {
		return nil
	}
	return w.parts[:len(w.parts)-1]
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

package fitting

// Part is a piece of a prompt that requests may share.
type Part struct {
	id     uint64
	tokens int
}

// NewPart returns a part with its length in tokens.
func NewPart(id uint64, tokens int) Part { return Part{id: id, tokens: tokens} }

// ID returns the id of the content.
func (p Part) ID() uint64 { return p.id }

// Tokens returns the length in tokens.
func (p Part) Tokens() int { return p.tokens }

// Work is what a request costs a model engine.
type Work struct {
	model  string
	parts  []Part
	prompt int
	output int
}

// NewWork returns the work of a prompt, made of parts, and of at most so many
// output tokens. No parts and no tokens are the work of a plain service.
func NewWork(model string, parts []Part, prompt, output int) Work {
	return Work{model: model, parts: parts, prompt: prompt, output: output}
}

// Model returns the model.
func (w Work) Model() string { return w.model }

// Parts returns the parts of the prompt, in order.
func (w Work) Parts() []Part { return w.parts }

// Prompt returns the length of the prompt in tokens.
func (w Work) PromptTokens() int { return w.prompt }

// Output returns the most output tokens.
func (w Work) OutputTokens() int { return w.output }

// Reusable returns the tokens of the longest part that requests share; the
// parts before it are shared by more of them and cached nearly everywhere.
func (w Work) ReusableTokens() int {
	n := 0
	for _, p := range w.shared() {
		n = max(n, p.tokens)
	}
	return n
}

// Key returns what requests with the same shared parts have in common, or
// false where nothing is shared.
func (w Work) PromptKey() (uint64, bool) {
	shared := w.shared()
	if len(shared) == 0 {
		return 0, false
	}
	return PromptKey(w.model, shared[len(shared)-1].id), true
}

// PromptKey returns the key of prompts that share the parts up to the one with
// the id. An id names a content, so the parts before it need not be counted in.
func PromptKey(model string, part uint64) uint64 { return mix(uint64(KeyOf(model)) ^ part) }

func (w Work) shared() []Part {
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

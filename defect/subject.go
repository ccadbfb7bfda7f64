package defect

// Subject is what may crash the targets that run it: a Part of a prompt, or a whole Request.
type Subject interface{ key() uint64 }

// Part identifies a part of a prompt for a model. Many requests share it, and one target
// that begins to respond to one of them tells that it runs.
type Part uint64

// Request identifies a request by what the target sees of it. It may crash the target before
// any response, so every request that the target has then is suspect, whether it runs or
// waits; what tells them apart is that one comes again.
type Request uint64

func (p Part) key() uint64    { return uint64(p) }
func (r Request) key() uint64 { return uint64(r) }

package placement

// The hint of a chat is the engine of its last response. The caller echoes it,
// so it is never stale and isn't lost with a router.

func (f *fleet) hint(chat uint64) string { return f.hints[chat] }

func (f *fleet) setHint(chat uint64, engine string) { f.hints[chat] = engine }

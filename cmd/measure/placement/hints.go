package placement

// The hint of a chat is the engine of its last answer. The caller brings it
// back, so that it neither lags nor goes with a router.

func (f *fleet) hint(chat uint64) string { return f.hints[chat] }

func (f *fleet) setHint(chat uint64, engine string) { f.hints[chat] = engine }

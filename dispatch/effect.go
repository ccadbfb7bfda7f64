package dispatch

// Effect is an action that a CacheIndex returns for its caller.
type Effect interface{ cacheIndexEffect() }

// ServeLocal means that this engine should serve the chat. Cached is whether
// the prompt is probably cached here.
type ServeLocal struct{ Cached bool }

// Redirect means that another engine should serve the chat. Speculative is
// whether the other engine may not have the prompt cached either.
type Redirect struct {
	Engine      string
	Speculative bool
}

// Resync requests the full list of cached chats from the engine.
type Resync struct{}

func (ServeLocal) cacheIndexEffect() {}
func (Redirect) cacheIndexEffect()   {}
func (Resync) cacheIndexEffect()     {}

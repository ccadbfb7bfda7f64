package dispatch

// Effect is the answer of a Keeper.
type Effect interface{ keeperEffect() }

// ServeLocal says that the chat is best served by this engine. Cached says that its
// prompt is believed to be cached here.
type ServeLocal struct{ Cached bool }

// Redirect says that the chat is best served by another engine. Inherit says that
// the other engine may not know the chat either.
type Redirect struct {
	Engine      string
	Speculative bool
}

// Resync asks for the whole list of cached chats.
type Resync struct{}

func (ServeLocal) keeperEffect() {}
func (Redirect) keeperEffect()   {}
func (Resync) keeperEffect()     {}

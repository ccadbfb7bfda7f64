package dispatch

// Effect is the answer of a Keeper.
type Effect interface{ keeperEffect() }

// Here says that the chat is best served by this engine. Cached says that its
// prompt is believed to be cached here.
type Here struct{ Cached bool }

// At says that the chat is best served by another engine. Inherit says that
// the other engine may not know the chat either.
type At struct {
	Engine  string
	Inherit bool
}

// Resync asks for the whole list of cached chats.
type Resync struct{}

func (Here) keeperEffect()   {}
func (At) keeperEffect()     {}
func (Resync) keeperEffect() {}

package reception

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpx"
)

// handlerRouter is a go-zero router that passes every request to one handler. It
// neither cleans paths nor writes responses itself.
type handlerRouter struct{ http.Handler }

var _ httpx.Router = handlerRouter{}

// Handle implements httpx.Router; there are no other handlers.
func (handlerRouter) Handle(_, _ string, _ http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router.
func (handlerRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router.
func (handlerRouter) SetNotAllowedHandler(http.Handler) {}

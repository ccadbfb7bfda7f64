package reception

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpx"
)

// pathRouter is a go-zero router that can match all paths with a prefix.
type pathRouter struct {
	mux *http.ServeMux
}

var _ httpx.Router = (*pathRouter)(nil)

func newPathRouter() *pathRouter { return &pathRouter{mux: http.NewServeMux()} }

// Handle implements httpx.Router.
func (p *pathRouter) Handle(method, path string, h http.Handler) error {
	if method != "" {
		method += " "
	}
	p.mux.Handle(method+path, h)
	return nil
}

// ServeHTTP implements http.Handler.
func (p *pathRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetNotFoundHandler implements httpx.Router. The mux writes its own response.
func (p *pathRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. The mux writes its own response.
func (p *pathRouter) SetNotAllowedHandler(http.Handler) {}

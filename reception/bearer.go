package reception

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// BearerToken returns the bearer token of a request, or "".
func BearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// Authenticated reports whether the bearer token of the request is the key. The
// comparison takes constant time.
func Authenticated(r *http.Request, key string) bool {
	have := sha256.Sum256([]byte(BearerToken(r)))
	want := sha256.Sum256([]byte(key))
	return key != "" && subtle.ConstantTimeCompare(have[:], want[:]) == 1
}

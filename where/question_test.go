package where

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestQuestion guards against a request that the router explains being another one than was asked about.
func TestQuestion(t *testing.T) {
	q := Question{Method: "POST", URI: "/x/y?a=1&b=%20", Host: "a.example", Workspace: "acme", Header: http.Header{"X-Model": {"m"}}}
	r := httptest.NewRequest(http.MethodGet, Path+"?"+q.Values().Encode(), nil)
	r.Header = q.Header
	got, err := ReadQuestion(r)
	require.NoError(t, err)
	require.Equal(t, q, got)
	require.Equal(t, "/x/y", got.URLPath())
	require.Equal(t, "/x/y?a=1&b=%20", got.Request().RequestURI)
}

// TestInvalidQuestion guards against an answer about something that no caller can send.
func TestInvalidQuestion(t *testing.T) {
	tests := map[string]struct {
		question  Question
		parameter string
	}{
		"no path":         {Question{Method: "GET"}, paramPath},
		"no slash":        {Question{Method: "GET", URI: "x"}, paramPath},
		"line break":      {Question{Method: "GET", URI: "/x\r\nHost: b"}, paramPath},
		"method":          {Question{Method: "get it", URI: "/"}, paramMethod},
		"long method":     {Question{Method: strings.Repeat("A", 40), URI: "/"}, paramMethod},
		"long host":       {Question{Method: "GET", URI: "/", Host: strings.Repeat("a", 300)}, paramHost},
		"long workspace":  {Question{Method: "GET", URI: "/", Workspace: strings.Repeat("a", 300)}, paramWorkspace},
		"method in lower": {Question{Method: "post", URI: "/"}, paramMethod},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ReadQuestion(httptest.NewRequest(http.MethodGet, Path+"?"+tt.question.Values().Encode(), nil))
			var invalid *InvalidQuestionError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, tt.parameter, invalid.Parameter)
		})
	}
}

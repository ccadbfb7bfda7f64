package office

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/dispatch"
	"vanillalug.example/reception"
	"vanillalug.example/schedule"
)

// TestEngineFailureIsNoRefusal guards against a chat that is called 'not run' although the status of its engine doesn't
// say so.
func TestEngineFailureIsNoRefusal(t *testing.T) {
	refused := map[int]bool{
		http.StatusBadRequest: true, http.StatusNotFound: true, http.StatusUnprocessableEntity: true,
		http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
		http.StatusRequestTimeout: false, http.StatusInternalServerError: false, http.StatusBadGateway: false,
		http.StatusGatewayTimeout: false, http.StatusAccepted: false,
	}
	client := reception.NewClient("engines", reception.WithConnectTimeout(time.Second))
	engines := courier.NewHTTPEngine(client, client, client, time.Second, time.Second)
	for status, want := range refused {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			t.Cleanup(server.Close)
			_, err := engines.Start(t.Context(), strings.TrimPrefix(server.URL, "http://"), courier.ChatCall{Request: "q1"})
			require.Error(t, err)
			result := (&Router{}).startError(t.Context(), &engineState{health: dispatch.NewHealth(schedule.NewSystem())}, err)
			_, interrupted := result.(Interrupted)
			require.Equal(t, want, !interrupted, "%T", result)
		})
	}
}

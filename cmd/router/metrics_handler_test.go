package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/router/gateway"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/platform"
	"vanillalug.example/reception"
	"vanillalug.example/schedule"
	"vanillalug.example/where"
)

// TestMetricsListener guards against metrics that are no longer where they were, and against a metrics
// listener that doesn't answer where a request would go.
func TestMetricsListener(t *testing.T) {
	g := gateway.New(gateway.Config{Name: "r1", PeerAddress: "127.0.0.1:1"}, schedule.NewSystem(), hclog.NewNullLogger(),
		platform.NewStore(platform.SharedClient(reception.NewClient("store")), "127.0.0.1:1"), reception.NewClient("peers"))
	h := metricsHandler(g)
	meter.SetGauge("metrics_listener_test", 1)
	get := func(method, target string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, target, nil))
		return w
	}
	for _, path := range []string{"/metrics", "/", "/where/else"} {
		require.Contains(t, get(http.MethodGet, path).Body.String(), "vanillalug_metrics_listener_test 1", path)
	}
	w := get(http.MethodGet, where.Path+"?path=/x")
	var a where.Answer
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &a))
	require.Equal(t, "r1", a.Router)
	require.Equal(t, where.Refused, a.Decision.Outcome)
	require.Equal(t, http.StatusServiceUnavailable, a.Decision.Status, "it has no routing table")
	require.Equal(t, http.StatusBadRequest, get(http.MethodGet, where.Path).Code)
	require.Equal(t, http.StatusMethodNotAllowed, get(http.MethodPost, where.Path+"?path=/x").Code)
}

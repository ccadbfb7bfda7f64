package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"vanillalug.example/platform/platformtest"
)

// BenchmarkRequest is a short request through the router, with its caller and
// target in the same process.
func BenchmarkRequest(b *testing.B) {
	s := newStation(b)
	s.add(plain, "p1")
	s.ready(1)
	client := &http.Client{}
	i := 0
	for b.Loop() {
		i++
		r, err := http.NewRequest(http.MethodGet, s.entry.URL+"/safe/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		platformtest.SetCallerHeaders(r, strconv.Itoa(i), testKey, 2*time.Second)
		w, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, w.Body)
		_ = w.Body.Close()
	}
}

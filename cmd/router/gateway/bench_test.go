package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"vanillalug.example/platform/platformtest"
)

// BenchmarkRequest measures a short request through the router. The caller and
// the target run in the same process.
func BenchmarkRequest(b *testing.B) {
	tr := newTestRouter(b)
	tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	client := &http.Client{}
	i := 0
	for b.Loop() {
		i++
		r, err := http.NewRequest(http.MethodGet, tr.entry.URL+"/safe/x", nil)
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

// topics is the number of prompts' parts that BenchmarkPrompt repeats.
const topics = 50

// BenchmarkPrompt measures a request with a prompt of several parts through the router, by the
// number of engines.
func BenchmarkPrompt(b *testing.B) {
	for _, engines := range []int{10, 124, 600} {
		b.Run(strconv.Itoa(engines), func(b *testing.B) {
			tr := newTestRouter(b)
			var ids []string
			for i := range engines {
				ids = append(ids, name("p", i))
			}
			tr.addTargets(promptService, ids...)
			tr.waitReady(engines)
			i := 0
			for b.Loop() {
				i++
				id := strconv.Itoa(i)
				topic := strconv.FormatUint(hashOf(strconv.Itoa(i%topics)), 16)
				tr.send(http.MethodPost, "/prompt/x", id, nil, withParts(id, commonPart, topic))
			}
		})
	}
}

package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"vanillalug.example/intake"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/reception"
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

// BenchmarkBody measures a request with a body through the router and a server as in production. Most
// bodies have 600 to 12,000 bytes.
func BenchmarkBody(b *testing.B) {
	for _, size := range []int{600, 12_000, 1 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			tr := newTestRouter(b)
			tr.addTargets(plainService, "p1")
			tr.waitReady(1)
			address := serveEntry(b, tr.g, intake.NewAccount(intake.DefaultLimits(136<<20)))
			body := strings.Repeat("x", size)
			client := &http.Client{}
			i := 0
			for b.Loop() {
				i++
				r, err := http.NewRequest(http.MethodPost, "http://"+address+"/safe/x", strings.NewReader(body))
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
		})
	}
}

// serveEntry serves callers like the entry listener of a router.
func serveEntry(t testing.TB, g *Gateway, account *intake.Account) (address string) {
	address = freeAddress(t)
	server, err := reception.NewServer("entry", address, reception.WithHandler(g), reception.WithConnLimits(g),
		reception.WithIntake(reception.NewIntake(account, nil)))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	for range 100 {
		if c, err := net.Dial("tcp4", address); err == nil {
			_ = c.Close()
			return address
		}
		time.Sleep(pollInterval)
	}
	t.Fatal("the server doesn't listen")
	return ""
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

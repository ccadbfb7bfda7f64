package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"

	"vanillalug.example/reception"
)

func init() { logx.Disable() }

// TestRequestAcceptedAtTheEndOfDraining checks that a request that is accepted just
// after the last one in flight has ended gets its response, although it takes longer
// than the servers have to stop.
func TestRequestAcceptedAtTheEndOfDraining(t *testing.T) {
	accepted := make(chan struct{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	server, err := reception.NewServer("callers", address, reception.WithHandler(
		http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(accepted)
			time.Sleep(shutdownTimeout + 300*time.Millisecond)
			_, _ = io.WriteString(w, "complete")
		})))
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	body := make(chan string, 1)
	go func() {
		for range 100 {
			w, err := http.Get("http://" + address)
			if err == nil {
				raw, _ := io.ReadAll(w.Body)
				_ = w.Body.Close()
				body <- string(raw)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		body <- "not accepted"
	}()
	<-accepted
	drain := func(context.Context) bool { return true }
	require.True(t, drainServers(4*shutdownTimeout, drain, server))
	select {
	case got := <-body:
		require.Equal(t, "complete", got)
	case <-time.After(100 * time.Millisecond):
		t.Fatal("the process would end before the response")
	}
}

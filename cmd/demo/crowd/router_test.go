package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/lugtest/crowdtest"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
)

const (
	// memoryMB and maxDescriptors are those of the VM: the smallest memory of the first deployment,
	// and few descriptors, so that a small crowd can exhaust them.
	memoryMB       = 136
	maxDescriptors = 1024
	apiKey         = "key-1"
	workspace      = "taller-norte"
	service        = "booking"
	// answerTimeout is how long an ordinary caller tries again before the router counts as hanging.
	answerTimeout = 30 * time.Second
	pollInterval  = 50 * time.Millisecond
	ordinaryBytes = 12_000
)

// router is a router process with the addresses of its listeners.
type router struct {
	pid       int
	exited    <-chan struct{}
	addresses map[string]string
	// ordinary are requests of clients within the limits, by listener.
	ordinary map[string]ordinary
	logs     func() string
	// runs counts the requests that reached targets, where a test needs it.
	runs *atomic.Int64
}

// ordinary is a request that has to be answered.
type ordinary struct {
	method, path string
	header       http.Header
	host, body   string
}

// startPlatform starts a router on the users' platform.
func startPlatform(t *testing.T, b platformtest.Behaviour) *router {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	for _, id := range []string{"p1", "p2", "p3", "p4"} {
		target, err := platformtest.NewTarget(id, service, false)
		require.NoError(t, err)
		t.Cleanup(target.Close)
		target.Slots = 1000
		target.SetDefault(b)
		store.PutJSON("servers", id, target.Entry("ready"))
	}
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{apiKey},
		platformtest.Route{Prefix: "/once/", Kind: platformtest.NonIdempotent, Service: service, Attempts: 1, TimeoutMS: 15_000}))
	return startPlatformAt(t, store, "")
}

// startPlatformAt starts a router that reads from a store, with further settings.
func startPlatformAt(t *testing.T, store *platformtest.Store, further string) *router {
	addresses := map[string]string{}
	text := fmt.Sprintf("[router]\nname = r1\nplace = a\nmemory-mb = %d\n[store]\naddress = %s\n[listen]\n", memoryMB, store.Address())
	for _, name := range []string{"entry", "ready", "peers", "metrics"} {
		addresses[name] = freeAddress(t)
		text += name + " = " + addresses[name] + "\n"
	}
	text += further
	file := filepath.Join(t.TempDir(), "r1.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	cmd := exec.Command(filepath.Join(bin, "router"), "-deployment", file)
	logs, err := os.Create(file + ".log")
	require.NoError(t, err)
	cmd.Stdout, cmd.Stderr = logs, logs
	require.NoError(t, cmd.Start())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
	header := http.Header{"Authorization": {"Bearer " + apiKey}, "X-Attempt-Id": {"ordinary"}}
	return &router{
		pid: cmd.Process.Pid, exited: exited, addresses: addresses,
		ordinary: map[string]ordinary{
			"entry":   {http.MethodPost, "/once/x", header, platformtest.Host, strings.Repeat("x", ordinaryBytes)},
			"ready":   {method: http.MethodGet, path: "/readyz"},
			"peers":   {http.MethodPost, peer.BeliefsPathPrefix + "GetBeliefs", http.Header{"Content-Type": {"application/protobuf"}}, "", ""},
			"metrics": {method: http.MethodGet, path: "/metrics"},
		},
		logs: func() string {
			raw, _ := os.ReadFile(file + ".log")
			return string(raw)
		},
	}
}

// startOwn starts a router for our own interface.
func startOwn(t *testing.T, _ platformtest.Behaviour) *router {
	dir := t.TempDir()
	h, err := stage.New(dir, bin, stage.WithRouters(1), stage.WithEngines(1), stage.WithWorkers(1))
	require.NoError(t, err)
	t.Cleanup(h.Stop)
	setMemory(t, filepath.Join(dir, "r1.ini"))
	require.NoError(t, h.Start(context.Background()), h.Logs())
	p, err := h.Process("r1")
	require.NoError(t, err)
	return &router{
		pid: p.PID(), exited: p.Done(), logs: p.Log,
		addresses: map[string]string{
			"callers": h.Address("r1"), "own peers": h.Address("r1/peers"), "operators": h.Address("r1/operators"),
		},
		ordinary: map[string]ordinary{
			"callers": {
				http.MethodPost, "/bookings/x", http.Header{"Authorization": {"Bearer " + stage.APIKey(workspace)}}, "", strings.Repeat("x", ordinaryBytes),
			},
			"operators": {method: http.MethodGet, path: "/metrics"},
		},
	}
}

// setMemory sets the memory in the settings of a router, unless the router under test is of a build
// whose own interface doesn't have that key yet.
func setMemory(t *testing.T, file string) {
	before, err := os.ReadFile(file)
	require.NoError(t, err)
	after := strings.Replace(string(before), "[router]\n", fmt.Sprintf("[router]\nmemory-mb = %d\n", memoryMB), 1)
	require.NoError(t, os.WriteFile(file, []byte(after), 0o600))
	out, err := exec.Command(filepath.Join(bin, "router"), "-settings", file, "-check").CombinedOutput()
	if err != nil {
		require.Contains(t, string(out), "memory-mb: is not a known key")
		require.NoError(t, os.WriteFile(file, before, 0o600))
	}
}

// loopbackAddresses counts the addresses that freeAddress has returned.
var loopbackAddresses atomic.Uint32

// freeAddress returns a free port of a loopback address that nothing else uses: on 127.0.0.1 the port
// could be that of a caller's connection by the time the router listens.
func freeAddress(t *testing.T) string {
	n := loopbackAddresses.Add(1)
	ip := netip.AddrFrom4([4]byte{127, 2, byte(n >> 8), byte(n)})
	l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// awaitAnswer sends the ordinary request of a listener until it is answered. It returns the last
// failure if the router hangs.
func (r *router) awaitAnswer(listener string) error {
	var last error
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if last = r.ask(listener); last == nil {
			return nil
		}
	}
	return fmt.Errorf("no answer at %s: %w", listener, last)
}

func (r *router) ask(listener string) error {
	o := r.ordinary[listener]
	q, err := http.NewRequest(o.method, "http://"+r.addresses[listener]+o.path, strings.NewReader(o.body))
	if err != nil {
		return err
	}
	q.Header = o.header
	q.Host = o.host
	client := &http.Client{Timeout: answerTimeout / 3, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = w.Body.Close() }()
	if _, err := io.Copy(io.Discard, w.Body); err != nil {
		return err
	}
	if w.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("status %d", w.StatusCode)
	}
	return nil
}

// watchDescriptors returns the highest number of descriptors that the process has had open from now
// on, until the end of the test.
func (r *router) watchDescriptors(t *testing.T) *atomic.Int64 {
	var highest atomic.Int64
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			highest.Store(max(highest.Load(), int64(crowdtest.OpenDescriptors(r.pid))))
			select {
			case <-done:
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	return &highest
}

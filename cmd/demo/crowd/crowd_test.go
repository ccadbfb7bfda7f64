// Package crowd checks that a router process survives crowds of clients that misbehave, at each
// listener: it lives, stays within the memory and the descriptors of its VM, and still serves an
// ordinary caller. Nothing that is checked depends on the speed of the machine.
package crowd

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/lugtest/crowdtest"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
)

const (
	// memoryBound is the memory of the VM, and descriptorBound what its descriptors leave for
	// targets, peers and the store: an eighth.
	memoryBound     = memoryMB << 20
	descriptorBound = maxDescriptors * 7 / 8
	// stay is how long the crowd stays before an ordinary caller comes, so that the router has read
	// what it reads.
	stay = 2 * time.Second
)

// bin is the folder with the programs under test, built once by TestMain.
var bin string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

// runMain builds the programs. It holds a lock, as two crowds at a time would need the machine's
// memory for sockets.
func runMain(m *testing.M) int {
	logx.Disable()
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "vanillalug-crowd.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		panic(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		panic(err)
	}
	defer func() { _ = lock.Close() }()
	if bin, err = os.MkdirTemp("", "vanillalug-crowd-"); err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(bin) }()
	for name, path := range map[string]string{"router-unlimited": "router", "vanillalug": "vanillalug", "standin": "standin"} {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(bin, name), "../../"+path).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n%s", name, err, out)
			return 1
		}
	}
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s/router-unlimited \"$@\"\n", maxDescriptors, bin)
	if err := os.WriteFile(filepath.Join(bin, "router"), []byte(script), 0o700); err != nil { //nolint:gosec // a program
		panic(err)
	}
	return m.Run()
}

// path is where a crowd sends its requests.
type path struct {
	start    func(*testing.T, platformtest.Behaviour) *router
	listener string
	// head is the request line and the headers of each request.
	head string
}

var paths = map[string]path{
	"route":       {startPlatform, "entry", platformtest.Head("POST", "/once/x", "crowd", apiKey)},
	"no route":    {startPlatform, "entry", platformtest.Head("POST", "/none/x", "crowd", apiKey)},
	"wrong key":   {startPlatform, "entry", platformtest.Head("POST", "/once/x", "crowd", "no-key")},
	"ready":       {startPlatform, "ready", "POST /readyz HTTP/1.1\r\nHost: r\r\n"},
	"metrics":     {startPlatform, "metrics", "POST /metrics HTTP/1.1\r\nHost: r\r\n"},
	"peers":       {startPlatform, "peers", "POST " + peer.BeliefsPathPrefix + "GetBeliefs HTTP/1.1\r\nHost: r\r\nContent-Type: application/protobuf\r\n"},
	"peers, JSON": {startPlatform, "peers", "POST " + peer.BeliefsPathPrefix + "GetBeliefs HTTP/1.1\r\nHost: r\r\nContent-Type: application/json\r\n"},
	"relayed":     {startPlatform, "peers", "POST /once/x HTTP/1.1\r\nHost: r\r\nVanillalug-Relayed-By: r2\r\nVanillalug-Attempts: 0\r\n"},
	"service":     {startOwn, "callers", "POST /bookings/x HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer " + stage.APIKey(workspace) + "\r\n"},
	"chat":        {startOwn, "callers", "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer " + stage.APIKey(workspace) + "\r\n"},
	"no key":      {startOwn, "callers", "POST /bookings/x HTTP/1.1\r\nHost: r\r\n"},
	"health":      {startOwn, "callers", "GET /healthz HTTP/1.1\r\nHost: r\r\n"},
	"own peers":   {startOwn, "own peers", "POST /peer/relay HTTP/1.1\r\nHost: r\r\n"},
	"operators":   {startOwn, "operators", "GET /metrics HTTP/1.1\r\nHost: r\r\n"},
	"status":      {startOwn, "operators", "GET /status HTTP/1.1\r\nHost: r\r\n"},
}

// crowd is a number of clients at a path, of each kind in turn.
type crowd struct {
	path    string
	kinds   []string
	clients int
	// target is how the target behaves; "" is as usual.
	target platformtest.Behaviour
}

// every has the kinds that send something.
var every = slices.DeleteFunc(slices.Sorted(maps.Keys(crowdtest.Kinds)), func(k string) bool { return k == "silent" })

// TestCrowds guards against crowds of clients that bring a router to its end or past its memory or
// its descriptors, or that keep it from serving others.
func TestCrowds(t *testing.T) {
	tests := map[string]crowd{
		"bodies a byte short":                              {"route", []string{"one byte short"}, 120, ""},
		"bodies a byte short in pieces":                    {"route", []string{"one byte short in small pieces"}, 120, ""},
		"last chunks short":                                {"route", []string{"last chunk short"}, 120, ""},
		"chunks far over the limit":                        {"route", []string{"chunk far over the limit"}, 120, ""},
		"lengths far over the limit":                       {"route", []string{"length far over the limit"}, 120, ""},
		"chunks of a byte":                                 {"route", []string{"chunks of a byte"}, 60, ""},
		"many short fields":                                {"route", []string{"many short fields"}, 800, ""},
		"many short fields without end":                    {"route", []string{"many short fields without end"}, 800, ""},
		"pipelined and not read":                           {"route", []string{"pipelined and not read"}, 40, ""},
		"large responses not read":                         {"route", []string{"pipelined and not read"}, 150, platformtest.LargeResponse},
		"slow bodies":                                      {"route", []string{"slow body"}, 120, ""},
		"half a head":                                      {"route", []string{"half a head"}, 800, ""},
		"silent at the entry":                              {"route", []string{"silent"}, 1200, ""},
		"no route":                                         {"no route", every, 200, ""},
		"no route, short bodies that stop":                 {"no route", []string{"short body that stops"}, 1200, ""},
		"wrong key":                                        {"wrong key", every, 200, ""},
		"wrong key, short bodies that stop":                {"wrong key", []string{"short body that stops"}, 1200, ""},
		"readiness":                                        {"ready", every, 200, ""},
		"readiness, silent":                                {"ready", []string{"silent"}, 1200, ""},
		"readiness, short bodies that stop":                {"ready", []string{"short body that stops"}, 1200, ""},
		"readiness, many short fields":                     {"ready", []string{"many short fields without end"}, 800, ""},
		"metrics":                                          {"metrics", every, 200, ""},
		"metrics, silent":                                  {"metrics", []string{"silent"}, 1200, ""},
		"metrics, short bodies that stop":                  {"metrics", []string{"short body that stops"}, 1200, ""},
		"peers":                                            {"peers", every, 200, ""},
		"peers, JSON":                                      {"peers, JSON", every, 200, ""},
		"peers, silent":                                    {"peers", []string{"silent"}, 1200, ""},
		"relayed":                                          {"relayed", every, 200, ""},
		"relayed, short bodies that stop":                  {"relayed", []string{"short body that stops"}, 1200, ""},
		"own interface, bodies a byte short":               {"service", []string{"one byte short"}, 120, ""},
		"own interface, last chunks short":                 {"service", []string{"last chunk short"}, 120, ""},
		"own interface, responses not read":                {"service", []string{"response not read"}, 120, ""},
		"own interface, service":                           {"service", every, 200, ""},
		"own interface, many short fields":                 {"service", []string{"many short fields"}, 800, ""},
		"own interface, silent":                            {"service", []string{"silent"}, 1200, ""},
		"own interface, chat":                              {"chat", every, 200, ""},
		"own interface, no key":                            {"no key", every, 200, ""},
		"own interface, no key, short bodies that stop":    {"no key", []string{"short body that stops"}, 1200, ""},
		"own interface, health":                            {"health", every, 200, ""},
		"own interface, peers":                             {"own peers", every, 200, ""},
		"own interface, peers, short bodies that stop":     {"own peers", []string{"short body that stops"}, 1200, ""},
		"own interface, operators":                         {"operators", every, 200, ""},
		"own interface, operators, silent":                 {"operators", []string{"silent"}, 1200, ""},
		"own interface, operators, short bodies that stop": {"operators", []string{"short body that stops"}, 1200, ""},
		"own interface, status":                            {"status", every, 200, ""},
	}
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		t.Run(name, func(t *testing.T) { tests[name].run(t) })
	}
}

func (w crowd) run(t *testing.T) {
	p := paths[w.path]
	r := p.start(t, w.behaviour())
	for listener := range r.ordinary {
		require.NoError(t, r.awaitAnswer(listener), "before the crowd: %s", r.logs())
	}
	highest := r.watchDescriptors(t)
	leave := crowdtest.Crowd{Address: r.addresses[p.listener], Head: p.head, Kinds: w.kinds, Clients: w.clients}.Enter()
	defer leave()
	time.Sleep(stay)
	err := r.answersAll()
	select {
	case <-r.exited:
		t.Fatalf("the process has ended: %s", r.logs())
	default:
	}
	peak, peakErr := crowdtest.PeakMemory(r.pid)
	require.NoError(t, peakErr)
	t.Logf("resident memory %d MiB at most, %d descriptors, answer: %v", peak>>20, highest.Load(), err)
	require.NoError(t, err)
	require.LessOrEqual(t, peak, memoryBound, "resident memory")
	require.LessOrEqual(t, int(highest.Load()), descriptorBound, "descriptors")
}

func (w crowd) behaviour() platformtest.Behaviour {
	if w.target == "" {
		return platformtest.Serve
	}
	return w.target
}

// answersAll waits until an ordinary request at each listener is answered.
func (r *router) answersAll() error {
	for listener := range r.ordinary {
		if err := r.awaitAnswer(listener); err != nil {
			return err
		}
	}
	return nil
}

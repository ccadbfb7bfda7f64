package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Router is a router process, started as deploy/system.toml says.
type Router struct {
	Name, Entry, ready, dir, settings string
	rec                               *Record

	mu  sync.Mutex
	cmd *exec.Cmd
	log *os.File
}

// Ports are below those that the system gives to outgoing connections, so that a port stays free
// while its process or worker is down. A run takes a block of them for itself.
const firstPort, lastPort, blockSize = 12000, 32000, 100

var (
	portMu   sync.Mutex
	nextPort int
	endPort  int
	// blockLock is held for as long as the run lasts: the first port of its block.
	blockLock net.Listener
)

// freeAddress returns an unused loopback address.
func freeAddress() string {
	portMu.Lock()
	defer portMu.Unlock()
	if blockLock == nil {
		takeBlock()
	}
	for ; nextPort < endPort; nextPort++ {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp4", address)
		if err == nil {
			_ = l.Close()
			nextPort++
			return address
		}
	}
	fail("no port is free")
	return ""
}

func takeBlock() {
	const blocks = (lastPort - firstPort) / blockSize
	for n := range blocks {
		start := firstPort + (os.Getpid()+n)%blocks*blockSize
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", start))
		if err == nil {
			blockLock, nextPort, endPort = l, start+1, start+blockSize
			return
		}
	}
	fail("no block of ports is free")
}

// Bounds are the bounds of the deployment that the settings carry.
type Bounds struct {
	RetryExtra float64
}

// NewRouters writes the settings of n routers, one in each zone in turn.
func NewRouters(rec *Record, dir string, n int, zones []string, storeOf func(i int) string, b Bounds) []*Router {
	template, err := os.ReadFile("deploy/router.ini.tmpl")
	must(err)
	var out []*Router
	var peers []string
	for i := range n {
		out = append(out, &Router{Name: fmt.Sprintf("edge-%d", i+1), Entry: freeAddress(), ready: freeAddress(), dir: dir, rec: rec})
		peers = append(peers, freeAddress())
	}
	for i, r := range out {
		seeds := strings.Join(peers[:min(n, 3)], ",")
		text := strings.NewReplacer(
			"{{limits.link_mbps}}", "700", "{{node_name}}", r.Name, "{{zone}}", zones[i%len(zones)], "{{limits.memory_mb}}", "206",
			"{{listen.frontend}}", r.Entry, "{{listen.ready}}", r.ready, "{{listen.control_plane}}", peers[i],
			"{{ip}}:9100", freeAddress(), "{{seed_nodes}}", seeds, "{{platform.address}}", storeOf(i),
			"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_extra}}", fmt.Sprint(b.RetryExtra),
			"{{bounds.budget_window_s}}", "10", "{{bounds.grace_s}}", "8",
		).Replace(string(template))
		if strings.Contains(text, "{{") {
			fail("the template of the settings has a field that this script doesn't fill in")
		}
		r.settings = filepath.Join(dir, r.Name+".ini")
		must(os.WriteFile(r.settings, []byte(text), 0o600))
		r.log, err = os.Create(filepath.Join(dir, r.Name+".log"))
		must(err)
	}
	return out
}

// Start starts the process.
func (r *Router) Start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	cmd := exec.Command("target/router", "-deployment", r.settings)
	cmd.Stdout, cmd.Stderr = r.log, r.log
	must(cmd.Start())
	r.cmd = cmd
	trackProcess(cmd)
	r.rec.Add("router %s starts, process %d", r.Name, cmd.Process.Pid)
}

// Kill kills the process and waits for its end.
func (r *Router) Kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return
	}
	r.rec.Add("router %s is killed", r.Name)
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
	r.cmd = nil
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		r.rec.Add("router %s gets signal %v", r.Name, s)
		_ = r.cmd.Process.Signal(s)
	}
}

// Ready asks the router as the platform does.
func (r *Router) Ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Get("http://" + r.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// AwaitReady waits until all routers are ready.
func AwaitReady(routers []*Router) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, r := range routers {
			all = all && r.Ready()
		}
		if all {
			return
		}
	}
	fail("the routers are not ready")
}

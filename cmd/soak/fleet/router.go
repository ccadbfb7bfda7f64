package fleet

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

const (
	grace       = 4 * time.Second
	restartTime = 300 * time.Millisecond
)

// Router is a router as a process of its own. It is started again when it ends.
type Router struct {
	Name string
	// CallerProxy is the proxy that callers connect to.
	CallerProxy *Proxy
	// StoreProxy is the proxy through which the router reaches the store.
	StoreProxy *Proxy

	bin   string
	dir   string
	ready string
	entry string
	peers string

	mu      sync.Mutex
	process *os.Process
	ended   bool
	exits   int
	wanted  int
}

// NewRouter prepares a router; nothing runs yet.
func NewRouter(bin, dir, name, store string) (*Router, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	r := &Router{Name: name, bin: bin, dir: dir, entry: addresses[0], ready: addresses[1], peers: addresses[2]}
	if r.CallerProxy, err = NewProxy(r.entry); err != nil {
		return nil, err
	}
	if r.StoreProxy, err = NewProxy(store); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[router]\nname = %s\nplace = a\n[listen]\nentry = %s\nready = %s\npeers = %s\nmetrics = %s\n"+
		"[store]\naddress = %s\n[retries]\nratio = 0.2\nextra = 100\nwindow = 10s\n[times]\ngrace = %s\n",
		name, r.entry, r.ready, r.peers, addresses[3], r.StoreProxy.Address(), grace)
	return r, os.WriteFile(r.settings(), []byte(text), 0o600)
}

// AddSeeds adds addresses of other routers to the settings.
func (r *Router) AddSeeds(others ...*Router) error {
	var seeds []string
	for _, o := range others {
		seeds = append(seeds, o.peers)
	}
	text, err := os.ReadFile(r.settings())
	if err != nil {
		return err
	}
	return os.WriteFile(r.settings(), append(text, "[peers]\nseeds = "+strings.Join(seeds, ", ")+"\n"...), 0o600)
}

// LogFile returns the file that the router's output goes to.
func (r *Router) LogFile() string { return filepath.Join(r.dir, r.Name+".log") }

// Entry returns the address that leads past the callers' proxy.
func (r *Router) Entry() string { return r.entry }

// Start starts the process, and again whenever it ends, until End.
func (r *Router) Start() error {
	out, err := os.OpenFile(r.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	go func() {
		defer func() { _ = out.Close() }()
		for r.runOnce(out) {
			time.Sleep(restartTime)
		}
	}()
	return nil
}

func (r *Router) runOnce(out *os.File) bool {
	cmd := exec.Command(r.bin, "-deployment", r.settings())
	cmd.Stdout, cmd.Stderr = out, out
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return false
	}
	err := cmd.Start()
	if err == nil {
		r.process = cmd.Process
	}
	r.mu.Unlock()
	if err != nil {
		return false
	}
	_ = cmd.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.process = nil
	r.exits++
	return !r.ended
}

// Signal sends a signal to the process, if it runs. Signals that end it are
// counted, so that ends of its own can be told apart.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		r.wanted++
	}
	_ = r.process.Signal(s)
}

// PID returns the id of the process, or false where none runs.
func (r *Router) PID() (pid int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return 0, false
	}
	return r.process.Pid, true
}

// UnexpectedExits returns how often the process ended without being told to.
func (r *Router) UnexpectedExits() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.exits-r.wanted, 0)
}

// Ready reports whether the router says that it is ready.
func (r *Router) Ready() bool {
	client := http.Client{Timeout: time.Second}
	w, err := client.Get("http://" + r.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// Stop stops the process for good.
func (r *Router) Stop() {
	r.mu.Lock()
	r.ended = true
	if r.process != nil {
		_ = r.process.Signal(syscall.SIGCONT)
		_ = r.process.Signal(syscall.SIGKILL)
	}
	r.mu.Unlock()
	r.CallerProxy.Close()
	r.StoreProxy.Close()
}

func (r *Router) settings() string { return filepath.Join(r.dir, r.Name+".ini") }

// freeAddresses returns addresses that nobody listens at. They lie below the
// ports that systems give to outgoing connections, so that none of those takes
// one before the router does.
func freeAddresses(n int) ([]string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	var out []string
	for len(out) < n {
		if nextPort > lastPort {
			return nil, fmt.Errorf("freeAddresses: no port from %d to %d is free", firstPort, lastPort)
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, address)
	}
	return out, nil
}

// The ports of routers.
const (
	firstPort = 12000
	lastPort  = 32000
	// portStride keeps runs at the same time apart.
	portStride = 1000
)

var (
	portMu   sync.Mutex
	nextPort = firstPort + os.Getpid()%((lastPort-firstPort)/portStride)*portStride
)

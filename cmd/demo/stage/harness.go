package stage

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"vanillalug.example/depot"
)

const (
	platformKey = "platform-key"
	peerKey     = "peer-key"
	operatorKey = "operator-key"

	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Harness runs the processes of a fleet.
type Harness struct {
	dir string
	bin string
	cfg *Config

	mu        sync.Mutex
	addresses map[string]string
	processes map[string]*Process
	vms       []depot.VMBody
}

// New assigns addresses to the processes of a fleet and writes its settings files
// to the folder dir. The folder bin has the programs.
func New(dir, bin string, opts ...Option) (*Harness, error) {
	s := &Harness{
		dir: dir, bin: bin, cfg: newConfig(opts...),
		addresses: map[string]string{}, processes: map[string]*Process{},
	}
	names := []string{"platform"}
	for i := range s.cfg.engines {
		names = append(names, fmt.Sprintf("e%d", i+1))
	}
	for i := range s.cfg.workers {
		names = append(names, fmt.Sprintf("b%d", i+1), fmt.Sprintf("l%d", i+1))
	}
	for i := range s.cfg.routers {
		r := fmt.Sprintf("r%d", i+1)
		names = append(names, r, r+"/peers", r+"/operators")
	}
	for _, name := range names {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		s.addresses[name] = address
	}
	return s, s.writeFiles()
}

func (s *Harness) writeFiles() error {
	files := map[string]string{"fleet.ini": s.document(), "operator.ini": s.operatorSettings()}
	for i := range s.cfg.routers {
		name := fmt.Sprintf("r%d", i+1)
		files[name+".ini"] = s.settings(name, i)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
			return fmt.Errorf("Stage.writeFiles: %w", err)
		}
	}
	return nil
}

// Start starts every process, publishes the first document and waits until
// every router is ready.
func (s *Harness) Start(ctx context.Context) error {
	if err := s.StartTargets(ctx); err != nil {
		return err
	}
	if out, err := s.RunOperatorCommand(ctx, "publish", "-base", "0", "-reason", "first", filepath.Join(s.dir, "fleet.ini")); err != nil {
		return fmt.Errorf("Stage.Start: publish: %w: %s", err, out)
	}
	for i := range s.cfg.routers {
		if err := s.StartRouter(fmt.Sprintf("r%d", i+1), "router"); err != nil {
			return err
		}
	}
	return s.AwaitReady(ctx)
}

// StartTargets starts the platform, the engines and the workers.
func (s *Harness) StartTargets(ctx context.Context) error {
	err := s.start("platform", "standin", "platform", "-listen", s.Address("platform"), "-key", platformKey)
	if err != nil {
		return err
	}
	for i := range s.cfg.engines {
		if err := s.StartEngine(fmt.Sprintf("e%d", i+1)); err != nil {
			return err
		}
	}
	for i := range s.cfg.workers {
		for _, kind := range []string{"b", "l"} {
			name := fmt.Sprintf("%s%d", kind, i+1)
			if err := s.start(name, "standin", "service", "-listen", s.Address(name), "-name", name); err != nil {
				return err
			}
		}
	}
	for name := range s.allProcesses() {
		if err := s.await(ctx, name); err != nil {
			return err
		}
	}
	return s.listVMs()
}

// StartEngine starts an engine, or restarts one that has exited.
func (s *Harness) StartEngine(name string) error {
	return s.start(name, "standin", "engine", "-listen", s.Address(name), "-name", name, "-models", Model,
		"-slots", fmt.Sprint(s.cfg.slots), "-token-interval", s.cfg.interval.String(),
		"-prefill", s.cfg.prefill.String(), "-cache-tokens", fmt.Sprint(s.cfg.cache))
}

// StartRouter starts a router from the program of that name in the folder bin.
func (s *Harness) StartRouter(name, program string) error {
	return s.start(name, program, "-settings", filepath.Join(s.dir, name+".ini"))
}

func (s *Harness) start(name, program string, args ...string) error {
	p, err := startProcess(s.dir, name, filepath.Join(s.bin, program), args...)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = p
	return nil
}

// RunOperatorCommand runs the operators' command and returns its output, standard
// error included.
func (s *Harness) RunOperatorCommand(ctx context.Context, command string, args ...string) (string, error) {
	args = append([]string{command, "-settings", filepath.Join(s.dir, "operator.ini")}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(s.bin, "vanillalug"), args...)
	cmd.Dir = s.dir
	var out bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &out
	err := cmd.Run()
	return out.String(), err
}

// Address returns the address of a process. For a router it is the listener for
// callers; "/peers" or "/operators" after the name selects another listener.
func (s *Harness) Address(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[name]
}

// Addresses returns the addresses of all processes of a kind: "r" (routers),
// "e" (engines), "b" (booking workers) or "l" (ledger workers). The ending, such
// as "/operators", selects the listener as in Address.
func (s *Harness) Addresses(kind, ending string) []string {
	n := map[string]int{"r": s.cfg.routers, "e": s.cfg.engines, "b": s.cfg.workers, "l": s.cfg.workers}[kind]
	var out []string
	for i := range n {
		out = append(out, s.Address(fmt.Sprintf("%s%d%s", kind, i+1, ending)))
	}
	return out
}

// Process returns a process by its name, or an error if it was not started.
func (s *Harness) Process(name string) (*Process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.processes[name]
	if !ok {
		return nil, fmt.Errorf("Stage.Process: %s: was not started", name)
	}
	return p, nil
}

// Signal sends a signal to a process.
func (s *Harness) Signal(name string, sig syscall.Signal) error {
	p, err := s.Process(name)
	if err != nil {
		return err
	}
	return p.Signal(sig)
}

func (s *Harness) allProcesses() map[string]*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]*Process{}
	for name, p := range s.processes {
		out[name] = p
	}
	return out
}

// Stop kills every process that the harness started, each by its process id.
func (s *Harness) Stop() {
	var wg sync.WaitGroup
	for _, p := range s.allProcesses() {
		wg.Go(p.kill)
	}
	wg.Wait()
}

// Logs returns the end of each process's log.
func (s *Harness) Logs() string {
	const most = 3000
	var b strings.Builder
	for name, p := range s.allProcesses() {
		text := p.Log()
		fmt.Fprintf(&b, "--- %s\n%s\n", name, text[max(0, len(text)-most):])
	}
	return b.String()
}

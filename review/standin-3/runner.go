package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// scene is what a case uses: the processes that it started, the store, the record.
type scene struct {
	log     *record
	store   *store
	trouble bool
	router  string
	self    string
	dir     string
	reports string
	onRun   func(text string)

	mu       sync.Mutex
	started  []*process
	routers  []*routerProcess
	attempts int
}

// process is a program that the case started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

type routerProcess struct {
	*process
	name, entry, ready, settings string
}

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

type play func(*scene) (verdict, error)

func runCase(p play, args []string) int {
	f := flag.NewFlagSet("case", flag.ExitOnError)
	router := f.String("router", "target/router", "the router's program")
	out := f.String("record", "record.txt", "file for what happened")
	_ = f.Parse(args)
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	}
	log := &record{file: file, start: time.Now()}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s := &scene{log: log, store: newStore(log), trouble: os.Getenv("TROUBLE") != "0", router: *router, self: self, dir: dir}
	defer s.stopAll()
	log.printf("trouble: %t, logs in a temporary folder, kept: %t", s.trouble, os.Getenv("KEEP_LOGS") != "")
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", dir)
	}
	type end struct {
		v   verdict
		err error
	}
	ended := make(chan end, 1)
	go func() {
		if err := s.listen(); err != nil {
			ended <- end{err: err}
			return
		}
		v, err := p(s)
		ended <- end{v, err}
	}()
	e := end{err: errors.New("the case took too long")}
	select {
	case e = <-ended:
	case <-time.After(maxTime):
	}
	if e.err != nil {
		log.printf("not run: %v", e.err)
		fmt.Println("not run:", e.err)
		return exitNotRun
	}
	log.printf("broken: %t: %s", e.v.broken, e.v.text)
	fmt.Printf("broken: %t: %s\n", e.v.broken, e.v.text)
	if e.v.broken {
		return exitBroken
	}
	return exitHeld
}

// listen starts the store, and what takes the reports of workers.
func (s *scene) listen() error {
	if err := s.store.listen(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.reports = l.Addr().String()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			text, _ := io.ReadAll(r.Body)
			s.log.printf("worker: %s", text)
			s.mu.Lock()
			onRun := s.onRun
			s.mu.Unlock()
			if onRun != nil {
				onRun(string(text))
			}
		}))
	}()
	return nil
}

// spawn starts a program. Its output goes to a file of the temporary folder.
func (s *scene) spawn(name, program string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	s.mu.Lock()
	s.started = append(s.started, p)
	s.mu.Unlock()
	return p, nil
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (s *scene) stopAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.started {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// firstPort and lastPort are the ports that a case may use: below those that the system
// gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 31999
)

var nextPort = firstPort + rand.N(lastPort-firstPort)

// freeAddress returns an address on which nobody listens over TCP or UDP, another one each time.
func freeAddress() string {
	for {
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		a := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", a)
		if err == nil {
			_ = u.Close()
			return a
		}
	}
}

// startRouters starts n routers with the settings of the deploy file's template and
// waits until all are ready.
func (s *scene) startRouters(n int, retryExtra int) error {
	peers := make([]string, n)
	for i := range peers {
		peers[i] = freeAddress()
	}
	for i := range n {
		r := &routerProcess{name: fmt.Sprintf("edge-%d", i+1), entry: freeAddress(), ready: freeAddress()}
		text := fmt.Sprintf(`[router]
name = %s
place = a
memory-mb = 206
link-mbps = 700.0

[listen]
entry = %s
ready = %s
peers = %s
metrics = %s

[peers]
seeds = %s

[store]
address = %s

[retries]
ratio = 0.2
extra = %d
window = 10s

[times]
grace = 8s
`, r.name, r.entry, r.ready, peers[i], freeAddress(), strings.Join(peers[:min(n, 3)], ","), s.store.address, retryExtra)
		r.settings = filepath.Join(s.dir, r.name+".ini")
		if err := os.WriteFile(r.settings, []byte(text), 0o644); err != nil {
			return err
		}
		s.routers = append(s.routers, r)
		if err := s.startRouter(r); err != nil {
			return err
		}
	}
	for _, r := range s.routers {
		if err := s.awaitReady(r, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) startRouter(r *routerProcess) error {
	p, err := s.spawn(r.name, s.router, "-deployment", r.settings)
	if err != nil {
		return err
	}
	r.process = p
	s.log.printf("%s started", r.name)
	return nil
}

func (s *scene) awaitReady(r *routerProcess, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + r.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.log.printf("%s is ready", r.name)
			return nil
		}
	}
	text, _ := os.ReadFile(filepath.Join(s.dir, r.name+".log"))
	return fmt.Errorf("%s is not ready: %.2000s", r.name, text)
}

// answer is what a client got for one attempt.
type answer struct {
	attempt string
	router  string
	sent    time.Time
	status  int
	body    []byte
	events  []event
	// leaving says that the worker stated in the answer that it is leaving.
	leaving    bool
	retryAfter float64
	// whole says that the answer came to its end.
	whole bool
	err   error
}

type event struct {
	id   string
	data string
}

// nextAttempt returns a new attempt id.
func (s *scene) nextAttempt() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	return fmt.Sprintf("%016x", s.attempts)
}

// send sends one request on a new connection and reads the answer.
func (s *scene) send(ctx context.Context, r *routerProcess, method, path string, timeout time.Duration, header map[string]string, body string) answer {
	return s.sendAs(ctx, s.nextAttempt(), r, method, path, timeout, header, body)
}

// sendAs is send with an attempt id.
func (s *scene) sendAs(ctx context.Context, attempt string, r *routerProcess, method, path string, timeout time.Duration, header map[string]string, body string) answer {
	a := answer{attempt: attempt, router: r.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.entry+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "shop.example"
	req.Header.Set("X-Attempt-Id", a.attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer key-1")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	s.log.printf("client: attempt %s to %s: %s %s", a.attempt, r.name, method, path)
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	response, err := t.RoundTrip(req)
	if err != nil {
		a.err = err
		s.log.printf("client: attempt %s has no answer: %v", a.attempt, err)
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.retryAfter, _ = strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	a.leaving = response.Header.Get("Server-Leaving") == "1"
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.events, a.err = readEvents(response.Body)
	} else {
		a.body, a.err = io.ReadAll(response.Body)
	}
	a.whole = a.err == nil
	s.log.printf("client: attempt %s got %d, %d events, %d bytes, whole %t, seal %q, leaving %t: %.120q", a.attempt, a.status, len(a.events), len(a.body), a.whole,
		response.Header.Get("X-Response-Seal"), a.leaving, a.body)
	return a
}

func readEvents(in io.Reader) ([]event, error) {
	var out []event
	var e event
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return out, err
		}
		switch line = strings.TrimSuffix(line, "\n"); {
		case line == "":
			out = append(out, e)
			e = event{}
		case strings.HasPrefix(line, "id: "):
			e.id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			e.data = line[len("data: "):]
		}
	}
}

// startWorker starts a worker at an address.
func (s *scene) startWorker(id, version, address string, args ...string) (*process, error) {
	args = append([]string{"worker", "-id", id, "-version", version, "-address", address, "-store", s.store.address, "-reports", s.reports}, args...)
	s.log.printf("worker %s starts with version %s at %s", id, version, address)
	return s.spawn(id, s.self, args...)
}

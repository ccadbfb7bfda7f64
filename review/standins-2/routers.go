package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is one process of the router, on a loopback address of its own.
type router struct {
	name, ip                    string
	entry, ready, peers, config string
	dir                         string
	cmd                         *exec.Cmd
	exited                      chan struct{}
}

// freePorts sets addresses with ports that nothing listens on. The ports are held until all are drawn, so
// that none is drawn twice.
func freePorts(ip string, addresses ...*string) error {
	for _, a := range addresses {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		*a = l.Addr().String()
	}
	return nil
}

// startRouters fills in the template of the deploy file and starts a process for each VM.
func (f *fleet) startRouters(n int) error {
	for i := range n {
		r := &router{name: fmt.Sprintf("edge-%d", i+1), ip: f.ip(1, i+1), dir: f.dir}
		if err := freePorts(r.ip, &r.entry, &r.ready, &r.peers); err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	var seeds []string
	for _, r := range f.routers[:min(3, len(f.routers))] {
		seeds = append(seeds, r.peers)
	}
	template, err := os.ReadFile("deploy/router.ini.tmpl")
	if err != nil {
		return err
	}
	for i, r := range f.routers {
		text := strings.NewReplacer(
			"{{node_name}}", r.name, "{{zone}}", f.zone(i), "{{limits.memory_mb}}", "206", "{{limits.link_mbps}}", "700.0",
			"{{listen.frontend}}", r.entry, "{{listen.ready}}", r.ready, "{{listen.control_plane}}", r.peers, "{{ip}}", r.ip,
			"{{seed_nodes}}", strings.Join(seeds, ","), "{{platform.address}}", f.store.address,
			"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_extra}}", "126", "{{bounds.budget_window_s}}", "10",
			"{{bounds.grace_s}}", "8",
		).Replace(string(template))
		r.config = filepath.Join(f.dir, r.name+".ini")
		if err := os.WriteFile(r.config, []byte(text), 0o600); err != nil {
			return err
		}
		if err := r.start(); err != nil {
			return err
		}
	}
	return f.waitReady(10 * time.Second)
}

func (r *router) start() error {
	out, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/router", "-deployment", r.config)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.cmd, r.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

func (r *router) signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

func (r *router) running() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}

// isReady asks the router as the platform does.
func (r *router) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	q.Close = true
	w, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

func (f *fleet) waitReady(d time.Duration) error {
	end := time.Now().Add(d)
	for _, r := range f.routers {
		for !r.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stopRouters ends the processes that were started.
func (f *fleet) stopRouters() {
	for _, r := range f.routers {
		if r.cmd != nil && r.running() {
			r.signal(syscall.SIGCONT)
			r.signal(syscall.SIGKILL)
			<-r.exited
		}
	}
}

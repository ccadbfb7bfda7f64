// The stand-ins and the scripts of the review: a store, workers, clients, and the routers as processes.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Env is what each case gets.
type Env struct {
	Rec     *Record
	Store   *Store
	Dir     string
	Trouble bool
}

var cases = map[string]func(*Env) bool{}

var (
	processMu sync.Mutex
	processes []*exec.Cmd
	tempDir   string
)

func trackProcess(c *exec.Cmd) {
	processMu.Lock()
	defer processMu.Unlock()
	processes = append(processes, c)
}

// cleanUp ends all processes that this one started, and removes the temporary folder.
func cleanUp() {
	processMu.Lock()
	defer processMu.Unlock()
	for _, c := range processes {
		if c.ProcessState == nil {
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}
	if tempDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	}
}

func fail(why string) {
	fmt.Println("could not run:", why)
	cleanUp()
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		fail(err.Error())
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	if _, err := os.Stat("target/router"); err != nil {
		fail("target/router is missing; run the build line of deploy/system.toml first")
	}
	var err error
	tempDir, err = os.MkdirTemp("", "review-")
	must(err)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-stop; fail("told to stop") }()
	time.AfterFunc(115*time.Second, func() { fail("too slow") })
	rec := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	e := &Env{Rec: rec, Store: NewStore(), Dir: tempDir, Trouble: os.Getenv("TROUBLE") != "0"}
	rec.Add("case %s, trouble %t", os.Args[1], e.Trouble)
	broken := cases[os.Args[1]](e)
	cleanUp()
	if broken {
		rec.Add("the rule is BROKEN")
		fmt.Println("the rule is broken")
		os.Exit(1)
	}
	rec.Add("the rule held")
	fmt.Println("the rule held")
}

// Manifest returns a manifest of a small deployment: an engine service and a plain service.
func Manifest(version int, change func(m map[string]any)) map[string]any {
	m := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-stream", "host": host, "prefix": "/stream/", "route_kind": "streaming", "timeout_ms": 15000, "goal_ms": 1000,
				"priority": 0, "service": "llm", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 600},
			map[string]any{"name": "r-book", "host": host, "prefix": "/book/", "route_kind": "non_idempotent", "timeout_ms": 1000, "goal_ms": 150,
				"priority": 2, "service": "app", "max_attempts": 1, "public": false},
			map[string]any{"name": "r-look", "host": host, "prefix": "/look/", "route_kind": "idempotent", "timeout_ms": 1000, "goal_ms": 150,
				"priority": 2, "service": "app", "max_attempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_connections": 832, "protocol": "h1", "tls": false,
				"inference_engine": map[string]any{"slots": 64, "kv_capacity": 545002, "kv_token_bytes": 18432, "link_mbps": 180000.0,
					"migrations": true, "replicas": true, "stride": 5, "most": 2, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0,
					"model_list": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 248, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-a", "api_keys": []string{apiKey}, "priority": 1}},
	}
	if change != nil {
		change(m)
	}
	return m
}

// Command review-2 plays the cases 6 to 10 of the second review: it starts the routers as processes, and
// stand-ins of store, servers and clients. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case couldn't run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	host   = "members.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
)

// fleet is the installation of a case.
type fleet struct {
	run     uint32
	net     [2]int
	dir     string
	zones   []string
	trouble bool
	rec     *record
	store   *store
	routers []*router
	// work is how long a request to the application takes.
	work time.Duration
}

// verdict is the result of a case.
type verdict struct {
	broken int
	what   string
}

var cases = map[string]func(*fleet) (verdict, error){}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "number of the case")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the logs of the routers")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f := &fleet{
		run: rand.Uint32(), net: [2]int{20 + rand.IntN(200), rand.IntN(250)}, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec,
		zones: []string{"stgo-a", "stgo-b", "stgo-c"}, work: 30 * time.Millisecond,
	}
	if *keep {
		fmt.Println("logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	defer f.stopRouters()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stopRouters()
		os.Exit(2)
	}()
	f.store, err = newStore(f.ip(3, 1))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.store.close()
	v, err := play(f)
	if err != nil {
		rec.logf("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
		return 2
	}
	rec.logf("verdict: broken %d times; %s", v.broken, v.what)
	fmt.Printf("broken %d times; %s\n", v.broken, v.what)
	if v.broken > 0 {
		return 1
	}
	return 0
}

func (f *fleet) ip(group, n int) string {
	// Each run has a network of its own, so that fixed ports are free.
	return fmt.Sprintf("127.%d.%d.%d", f.net[0], (f.net[1]/4)*4+group, n)
}

func (f *fleet) zone(i int) string { return f.zones[i%len(f.zones)] }

// route is a route of the manifest.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"route_kind"`
	Timeout   int    `json:"timeout_ms"`
	Goal      int    `json:"goal_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"max_attempts"`
	Public    bool   `json:"public"`
	Resumable bool   `json:"resumable"`
}

// publish writes the manifest of the operator.
func (f *fleet) publish(version int, services []map[string]any, routes ...route) error {
	for i := range routes {
		routes[i].Host = host
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	f.store.put("op", "config", raw)
	f.rec.logf("operator: version %d", version)
	return nil
}

func appService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 248, "protocol": "h1", "tls": false}
}

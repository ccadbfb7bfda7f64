// Command soak runs routers as processes under random faults and checks what
// callers and targets see.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"vanillalug.example/cmd/soak/fleet"
)

const usage = `soak runs routers as processes, injects random faults from outside them and
checks the promises to callers while it runs.

    soak -router BIN [-seed N] [-seeds K] [-for D] [-routers N] [-targets N] [-callers N] [-logs DIR]

Each seed is a fleet of its own. Logs of a seed that failed stay in the folder,
with what was done to the fleet (faults.txt). Only processes that soak started
are signalled, by their ids.

Exit codes: 0 when every promise was kept, 1 when one was broken, 2 for wrong
flags or a fleet that did not start.

`

const (
	exitBroken = 1
	exitUsage  = 2
)

func main() { os.Exit(run()) }

func run() int {
	bin := flag.String("router", "bin/router", "the router's program")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	length := flag.Duration("for", 20*time.Second, "time of faults for each seed")
	size := fleet.Size{}
	flag.IntVar(&size.Routers, "routers", 4, "number of routers")
	flag.IntVar(&size.Targets, "targets", 3, "targets of each service")
	flag.IntVar(&size.Callers, "callers", 4, "callers of each router")
	logs := flag.String("logs", filepath.Join(os.TempDir(), "vanillalug-soak"), "folder for logs")
	flag.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	broken := 0
	for s := *seed; s < *seed+uint64(*seeds); s++ {
		dir := filepath.Join(*logs, strconv.FormatUint(s, 10))
		ok, err := runSeed(*bin, dir, size, s, *length)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		if !ok {
			broken++
		}
	}
	fmt.Printf("%d of %d seeds kept every promise\n", *seeds-broken, *seeds)
	if broken > 0 {
		return exitBroken
	}
	return 0
}

func runSeed(bin, dir string, size fleet.Size, seed uint64, length time.Duration) (ok bool, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, err
	}
	report, err := fleet.Run(bin, dir, size, seed, length)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d calls, %d served whole, %d promises broken\n", seed, report.Calls, report.Served, len(report.Violations))
	for _, b := range report.Violations {
		fmt.Println("   ", b)
	}
	if len(report.Violations) == 0 {
		return true, os.RemoveAll(dir)
	}
	return false, writeNotes(filepath.Join(dir, "faults.txt"), report.Events)
}

func writeNotes(file string, notes []string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	for _, n := range notes {
		if _, err := fmt.Fprintln(f, n); err != nil {
			return err
		}
	}
	return f.Close()
}

// Command soak runs a fleet of router processes, injects random faults and checks
// that callers and targets see no violation of the routers' guarantees.
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

const usage = `soak runs a fleet of router processes, injects random faults from outside them
and checks the guarantees to callers while it runs.

    soak -router BIN [-other BIN] [-seed N] [-seeds K] [-for D] [-routers N] [-targets N] [-callers N] [-logs DIR]

With -other, every second router runs that build first, and each changes the build when it
restarts: they must work side by side, without evacuations, cold targets and crowds of
clients, which an older build doesn't know. Each seed runs on a new fleet. The logs of a
failed seed are kept in the folder, with the injected faults and other changes
(faults.txt). Only processes that soak started are signalled, by their ids.

Exit codes: 0 when no guarantee was violated, 1 when one was, 2 for invalid flags
or a fleet that did not start.

`

const (
	exitViolation = 1
	exitUsage     = 2
)

func main() { os.Exit(run()) }

func run() int {
	bin := flag.String("router", "bin/router", "path of the router's binary")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	length := flag.Duration("for", 20*time.Second, "how long to inject faults for each seed")
	size := fleet.Size{}
	flag.IntVar(&size.Routers, "routers", 4, "number of routers")
	flag.IntVar(&size.Targets, "targets", 3, "number of targets of each service")
	flag.IntVar(&size.Callers, "callers", 4, "number of callers of each router")
	flag.StringVar(&size.OtherBuild, "other", "", "path of the router's binary of another build, which runs beside it")
	logs := flag.String("logs", filepath.Join(os.TempDir(), "vanillalug-soak"), "folder for logs")
	flag.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	if size.OtherBuild != "" {
		other, err := filepath.Abs(size.OtherBuild)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		size.OtherBuild = other
	}
	failed := 0
	for s := *seed; s < *seed+uint64(*seeds); s++ {
		dir := filepath.Join(*logs, strconv.FormatUint(s, 10))
		ok, err := runSeed(*bin, dir, size, s, *length)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		if !ok {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds had no violations\n", *seeds-failed, *seeds)
	if failed > 0 {
		return exitViolation
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
	fmt.Printf("seed %d: %d calls, %d complete responses, %d of %d streams went on, %d violations\n",
		seed, report.Calls, report.Served, report.WentOn, report.TakenUp, len(report.Violations))
	for _, v := range report.Violations {
		fmt.Println("   ", v)
	}
	if len(report.Violations) == 0 {
		return true, os.RemoveAll(dir)
	}
	return false, writeEvents(filepath.Join(dir, "faults.txt"), report.Events)
}

func writeEvents(file string, events []string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	for _, e := range events {
		if _, err := fmt.Fprintln(f, e); err != nil {
			return err
		}
	}
	return f.Close()
}

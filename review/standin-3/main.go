// Command standin-3 has the stand-ins of the review's scripts: the platform's
// store, workers and clients. Each case is a subcommand that starts the router
// as separate processes, plays its events on the real clock and judges one rule
// by what clients, workers and the store have seen.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 worker|CASE [flags]")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play, os.Args[2:]))
}

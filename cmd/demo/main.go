// Command demo runs a small fleet and its stand-ins as processes, sends chats and
// calls through it while an engine and a router are drained, and prints whether
// each check passed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"vanillalug.example/cmd/demo/stage"
)

const usage = `demo runs three routers, three engines, four workers and a platform as
processes on the loopback interface. It publishes a fleet document, runs chats
that return through other routers, a booking, a repeated booking, an engine
that leaves and a router that stops in the middle of a stream.

    demo -bin DIR   DIR has the programs

Exit codes: 0 when everything held, 1 otherwise.

`

func main() {
	bin := flag.String("bin", "bin", "folder with the programs")
	flag.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	os.Exit(run(*bin))
}

func run(bin string) int {
	dir, err := os.MkdirTemp("", "vanillalug-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin, err = filepath.Abs(bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	s, err := stage.New(dir, bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer s.Stop()
	d := newDemonstration(s)
	d.run(context.Background())
	if d.failed > 0 {
		fmt.Println(s.Logs())
		fmt.Printf("%d of %d did not hold\n", d.failed, d.checks)
		return 1
	}
	fmt.Printf("all %d held\n", d.checks)
	return 0
}

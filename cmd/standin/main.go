// Command standin runs simulated versions of the systems around the fleet, for
// demonstrations and tests: an inference engine, an application service or the
// platform. Each takes fault switches at POST /faults.
package main

import (
	"flag"
	"fmt"
	"os"
)

const usage = `standin runs a small stand-in for a system around the fleet.

    standin engine   [flags]   a model engine that caches prompt prefixes
    standin service  [flags]   an application service that counts its effects
    standin platform [flags]   a table, an object store and a list of VMs

Every stand-in listens on -listen and takes fault switches at POST /faults.
`

func main() {
	if len(os.Args) < 2 {
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(name string, args []string) error {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	switch name {
	case "engine":
		return runEngine(flags, args)
	case "service":
		return runService(flags, args)
	case "platform":
		return runPlatform(flags, args)
	}
	return fmt.Errorf("%s: is not a stand-in\n%s", name, usage)
}

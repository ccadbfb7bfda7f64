// Command measure runs the measurements that the documents quote: placement and
// admission policies, resource use by size, and the path through a router.
package main

import (
	"flag"
	"fmt"
	"os"

	"vanillalug.example/reception"
)

const usage = `measure runs the measurements that the documents quote.

    measure placement [flags]   compares policies for placing chats, on a fake clock
    measure slopes    [flags]   measures resource use by size, for docs/CAPACITY.md
    measure path      [flags]   measures latency, throughput and memory of the request path
    measure fleet     [flags]   measures a fleet of the present size, as processes
    measure gateway   [flags]   measures a router process on a fake of the platform
    measure admission [flags]   compares policies for rejecting requests, on a fake clock
    measure capacity  [flags]   compares ways to find out the speed of engines, on a fake clock

`

func main() {
	if len(os.Args) < 2 {
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	reception.NewLogger("measure", "error", false, os.Stderr)
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	var err error
	switch os.Args[1] {
	case "placement":
		runPlacement(flags, os.Args[2:])
	case "fleet":
		err = runFleet(flags, os.Args[2:])
	case "slopes":
		err = runSlopes(flags, os.Args[2:])
	case "admission":
		err = runAdmission(flags, os.Args[2:])
	case "capacity":
		err = runCapacity(flags, os.Args[2:])
	case "gateway":
		err = runGateway(flags, os.Args[2:])
	case "path":
		err = runPath(flags, os.Args[2:])
	default:
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

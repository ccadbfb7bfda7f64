// Command vanillalug is the operators' command: it checks, compares and
// publishes fleet documents, shows the state of the fleet and settles calls.
package main

import (
	"fmt"
	"io"
	"os"
)

const usage = `vanillalug works on the fleet document and shows the state of the fleet.

    vanillalug COMMAND [flags]

Commands:

    check      check a fleet document and report every fault
    diff       show what publishing a document would change
    publish    publish a document as the next version
    history    list the published versions
    show       print a published version
    rollback   publish an older version again, as the next version
    status     show what every router has in force
    drain      take an engine, a target or a router out of service
    claims     list calls whose outcome is not recorded
    settle     settle such a call by hand
    explain    show from logs what became of a request
    hash-key   print the digest of a workspace key
    version    print the build of this command

Run "vanillalug COMMAND -h" for more about one of them.

Exit codes: 0 for success, 1 for a failure, 2 for wrong flags, settings or a
document with faults, 3 for a conflict with another operator, 4 when the
routers do not agree or cannot follow, 5 when the outcome is not known.
`

// The exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitDisagree = 4
	exitUnknown  = 5
)

// Set at build time with -ldflags "-X main.build=...".
var build = "dev"

// command is one subcommand. Its run function returns an exit code.
type command struct {
	name  string
	usage string
	run   func(c *call) int
}

func commands() []command {
	return []command{
		{"check", usageCheck, runCheck},
		{"diff", usageDiff, runDiff},
		{"publish", usagePublish, runPublish},
		{"history", usageHistory, runHistory},
		{"show", usageShow, runShow},
		{"rollback", usageRollback, runRollback},
		{"status", usageStatus, runStatus},
		{"drain", usageDrain, runDrain},
		{"claims", usageClaims, runClaims},
		{"settle", usageSettle, runSettle},
		{"explain", usageExplain, runExplain},
		{"hash-key", usageHashKey, runHashKey},
		{"version", usageVersion, runVersion},
	}
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" {
		fmt.Fprint(errs, usage)
		return exitUsage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(newCall(c, args[1:], out, errs))
		}
	}
	fmt.Fprintf(errs, "%s: is not a command\n\n%s", args[0], usage)
	return exitUsage
}

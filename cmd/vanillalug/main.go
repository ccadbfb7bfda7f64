// Command vanillalug is the operators' command-line tool. It checks, compares
// and publishes fleet documents, shows the state of the fleet and resolves calls
// whose outcome was not recorded.
package main

import (
	"fmt"
	"io"
	"os"
)

const usage = `vanillalug works on the fleet document and shows the state of the fleet.

    vanillalug COMMAND [flags]

Commands:

    check      check a fleet document and report every error
    diff       show what publishing a document would change
    publish    publish a document as the next version
    history    list the published versions
    show       print a published version
    rollback   publish an older version again, as the next version
    status     show the active version of every router
    drain      take an engine, a target or a router out of service
    evacuate   take a place (failure domain) out of use
    restore    take an evacuated place back
    claims     list calls whose outcome is not recorded
    settle     record the outcome of such a call by hand
    explain    show from logs how a request was handled
    where      show where a request would go now, and why
    report     count the requests in logs by result, and plot them
    hash-key   print the digest of a workspace key
    version    print the build of this command

Run "vanillalug COMMAND -h" for the flags of a command.

Exit codes: 0 for success, 1 for a failure, 2 for invalid flags, settings or
documents, 3 for a conflict with another operator, 4 when the routers have
different versions or do not support the rules level, 5 when the outcome is not
known.
`

// The exit codes.
const (
	exitFailure      = 1
	exitUsage        = 2
	exitConflict     = 3
	exitInconsistent = 4
	exitUnknown      = 5
)

// build is set at build time with -ldflags "-X main.build=...".
var build = "dev"

// command is a subcommand. Its run function returns the exit code.
type command struct {
	name  string
	usage string
	run   func(c *invocation) int
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
		{"evacuate", usageEvacuate, runEvacuate},
		{"restore", usageRestore, runRestore},
		{"claims", usageClaims, runClaims},
		{"settle", usageSettle, runSettle},
		{"explain", usageExplain, runExplain},
		{"where", usageWhere, runWhere},
		{"report", usageReport, runReport},
		{"hash-key", usageHashKey, runHashKey},
		{"version", usageVersion, runVersion},
	}
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(newInvocation(c, args[1:], stdout, stderr))
		}
	}
	fmt.Fprintf(stderr, "%s: is not a command\n\n%s", args[0], usage)
	return exitUsage
}

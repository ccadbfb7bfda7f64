// Command mutants is a mutation tester: it applies each listed change to the code
// and checks that the named test fails.
package main

import (
	"flag"
	"fmt"
	"os"
)

const usage = `mutants changes one place of the code at a time, without touching the files,
and runs the test that is to find it. It runs from the root of the workspace.

    mutants -list FILE [-only NAME]

Exit codes: 0 when every test failed as it should, 1 otherwise.

`

func main() {
	list := flag.String("list", "cmd/mutants/mutants.ini", "INI file with the mutants")
	only := flag.String("only", "", "only the mutant of this name")
	flag.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	mutants, err := readMutants(*list)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(runAll(mutants, *only))
}

func runAll(mutants []mutant, only string) int {
	missed := 0
	for _, m := range mutants {
		if only != "" && m.name != only {
			continue
		}
		found, err := m.run()
		switch {
		case err != nil:
			fmt.Printf("ERROR   %s: %v\n", m.name, err)
			missed++
		case found:
			fmt.Printf("found   %s by %s in %s\n", m.name, m.test, m.pkg)
		default:
			fmt.Printf("MISSED  %s by %s in %s\n", m.name, m.test, m.pkg)
			missed++
		}
	}
	if missed > 0 {
		return 1
	}
	return 0
}

package main

import "fmt"

const usageCheck = `vanillalug check FILE

Check reads a fleet document and reports every fault in it at once, each with
the file, the section, the key and what is allowed there. It asks neither the
platform nor the routers.

Exit codes: 0 when the document is good, 2 when it has faults.
`

type checkBody struct {
	Name       string `json:"name"`
	Digest     string `json:"digest"`
	RulesLevel int    `json:"rules-level"`
	Engines    int    `json:"engines"`
	Targets    int    `json:"targets"`
	Workspaces int    `json:"workspaces"`
}

func runCheck(c *call) int {
	c.withJSON()
	if !c.parse(1) {
		return exitUsage
	}
	f, err := readDocument(c.flags.Arg(0))
	if err != nil {
		return c.fail(exitUsage, err)
	}
	b := checkBody{
		Name: f.Name(), Digest: f.Digest(), RulesLevel: f.RulesLevel(),
		Engines: len(f.Engines()), Targets: len(f.Targets()), Workspaces: len(f.Workspaces()),
	}
	if c.json {
		c.writeJSON(b)
		return 0
	}
	fmt.Fprintf(c.out, "%s: ok: fleet %s, rules level %d, %d engines, %d targets, %d workspaces\ndigest %s\n",
		c.flags.Arg(0), b.Name, b.RulesLevel, b.Engines, b.Targets, b.Workspaces, b.Digest)
	return 0
}

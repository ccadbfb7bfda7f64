package main

import "fmt"

const usageCheck = `vanillalug check FILE

Check validates a fleet document and reports every error in it at once, each
with the file, the section, the key and the allowed values. It contacts neither
the platform nor the routers.

Exit codes: 0 when the document is valid, 2 when it is not.
`

type checkBody struct {
	Name       string `json:"name"`
	Digest     string `json:"digest"`
	RulesLevel int    `json:"rules-level"`
	Engines    int    `json:"engines"`
	Targets    int    `json:"targets"`
	Workspaces int    `json:"workspaces"`
}

func runCheck(c *invocation) int {
	c.addJSONFlag()
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
	fmt.Fprintf(c.stdout, "%s: ok: fleet %s, rules level %d, %d engines, %d targets, %d workspaces\ndigest %s\n",
		c.flags.Arg(0), b.Name, b.RulesLevel, b.Engines, b.Targets, b.Workspaces, b.Digest)
	return 0
}

package main

import (
	"fmt"

	"vanillalug.example"
)

const usageVersion = `vanillalug version

Version prints the build of this command and the rules levels that it knows.
`

const usageHashKey = `vanillalug hash-key KEY

Hash-key prints the digest of a workspace key, which stands in the fleet
document in place of the key.
`

func runVersion(c *call) int {
	if !c.parse(0) {
		return exitUsage
	}
	fmt.Fprintf(c.out, "vanillalug %s, rules levels %s\n", build, vanillalug.SupportedLevels())
	return 0
}

func runHashKey(c *call) int {
	if !c.parse(1) {
		return exitUsage
	}
	fmt.Fprintln(c.out, vanillalug.KeyDigest(c.flags.Arg(0)))
	return 0
}

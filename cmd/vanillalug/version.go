package main

import (
	"fmt"

	"vanillalug.example"
)

const usageVersion = `vanillalug version

Version prints the build of this command and the rules levels that it supports.
`

const usageHashKey = `vanillalug hash-key KEY

Hash-key prints the digest of a workspace key. The fleet document holds the
digest instead of the key.
`

func runVersion(c *invocation) int {
	if !c.parse(0) {
		return exitUsage
	}
	fmt.Fprintf(c.stdout, "vanillalug %s, rules levels %s\n", build, vanillalug.SupportedLevels())
	return 0
}

func runHashKey(c *invocation) int {
	if !c.parse(1) {
		return exitUsage
	}
	fmt.Fprintln(c.stdout, vanillalug.KeyDigest(c.flags.Arg(0)))
	return 0
}

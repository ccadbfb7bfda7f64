package main

// cases are the subcommands that play a case.
var cases = map[string]play{
	"late-drain": lateDrain,
	"refused":    refused,
	"taken-up":   takenUp,
}

package main

// cases are the subcommands that play a case.
var cases = map[string]play{
	"restart-order": restartOrder,
	"late-drain":    lateDrain,
	"taken-up":      takenUp,
}

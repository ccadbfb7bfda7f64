package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"vanillalug.example"
	"vanillalug.example/depot"
	"vanillalug.example/form"
	"vanillalug.example/reception"
)

// call is one run of a subcommand.
type call struct {
	flags    *flag.FlagSet
	args     []string
	out      io.Writer
	errs     io.Writer
	settings string
	json     bool
}

func newCall(cmd command, args []string, out, errs io.Writer) *call {
	reception.NewLogger("vanillalug", "error", false, errs)
	c := &call{args: args, out: out, errs: errs}
	c.flags = flag.NewFlagSet(cmd.name, flag.ContinueOnError)
	c.flags.SetOutput(errs)
	c.flags.Usage = func() {
		fmt.Fprintln(errs, cmd.usage)
		c.flags.PrintDefaults()
	}
	return c
}

// withSettings adds the flag that names the operator's settings.
func (c *call) withSettings() {
	c.flags.StringVar(&c.settings, "settings", os.Getenv("VANILLALUG_SETTINGS"), "INI file with the operator's settings")
}

// withJSON adds the flag for output that programs read.
func (c *call) withJSON() { c.flags.BoolVar(&c.json, "json", false, "write JSON") }

// parse parses the flags and checks the number of the other arguments. It
// reports whether the command may go on.
func (c *call) parse(args int) bool {
	if err := c.flags.Parse(c.args); err != nil {
		return false
	}
	if c.flags.NArg() != args {
		fmt.Fprintf(c.errs, "want %d arguments besides flags, got %d\n", args, c.flags.NArg())
		c.flags.Usage()
		return false
	}
	return true
}

// begin parses the flags and reads the operator's settings. It reports whether
// the command may go on.
func (c *call) begin(args int) (*operatorSettings, bool) {
	if !c.parse(args) {
		return nil, false
	}
	cfg, err := loadSettings(c.settings)
	if err != nil {
		c.fail(exitUsage, err)
		return nil, false
	}
	return cfg, true
}

// fail prints an error and returns the exit code.
func (c *call) fail(code int, err error) int {
	var faults *form.InvalidFileError
	if errors.As(err, &faults) {
		fmt.Fprintf(c.errs, "%d faults:\n", len(faults.Errors()))
		code = exitUsage
	}
	fmt.Fprintln(c.errs, err)
	return code
}

// writeJSON prints a value as indented JSON.
func (c *call) writeJSON(v any) {
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// readDocument reads and checks a fleet document.
func readDocument(file string) (*vanillalug.Fleet, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return vanillalug.ReadFleet(file, text)
}

// newPlatform returns the platform that the settings name.
func newPlatform(cfg *operatorSettings) *depot.Client {
	return depot.NewClient(reception.NewClient("platform"), cfg.platform, cfg.platformKey)
}

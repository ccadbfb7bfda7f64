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

// invocation is one run of a subcommand: its flags, arguments and output.
type invocation struct {
	flags    *flag.FlagSet
	args     []string
	stdout   io.Writer
	stderr   io.Writer
	settings string
	json     bool
}

func newInvocation(cmd command, args []string, stdout, stderr io.Writer) *invocation {
	reception.NewLogger("vanillalug", "error", false, stderr)
	c := &invocation{args: args, stdout: stdout, stderr: stderr}
	c.flags = flag.NewFlagSet(cmd.name, flag.ContinueOnError)
	c.flags.SetOutput(stderr)
	c.flags.Usage = func() {
		fmt.Fprintln(stderr, cmd.usage)
		c.flags.PrintDefaults()
	}
	return c
}

// addSettingsFlag adds the flag for the file with the operator's settings.
func (c *invocation) addSettingsFlag() {
	c.flags.StringVar(&c.settings, "settings", os.Getenv("VANILLALUG_SETTINGS"), "INI file with the operator's settings")
}

// addJSONFlag adds the flag for JSON output.
func (c *invocation) addJSONFlag() { c.flags.BoolVar(&c.json, "json", false, "write JSON") }

// parse parses the flags and checks the number of positional arguments. It
// returns false if the command must exit.
func (c *invocation) parse(args int) bool {
	if err := c.flags.Parse(c.args); err != nil {
		return false
	}
	if c.flags.NArg() != args {
		fmt.Fprintf(c.stderr, "want %d arguments besides flags, got %d\n", args, c.flags.NArg())
		c.flags.Usage()
		return false
	}
	return true
}

// parseWithSettings parses the flags and reads the operator's settings. It
// returns false if the command must exit.
func (c *invocation) parseWithSettings(args int) (*operatorSettings, bool) {
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

// fail prints an error and returns the exit code, which is exitUsage for an
// invalid file.
func (c *invocation) fail(code int, err error) int {
	var invalid *form.InvalidFileError
	if errors.As(err, &invalid) {
		fmt.Fprintf(c.stderr, "%d faults:\n", len(invalid.Errors()))
		code = exitUsage
	}
	fmt.Fprintln(c.stderr, err)
	return code
}

// writeJSON prints v as indented JSON.
func (c *invocation) writeJSON(v any) {
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// readDocument reads and validates a fleet document.
func readDocument(file string) (*vanillalug.Fleet, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return vanillalug.ReadFleet(file, text)
}

// newPlatform returns a client of the platform in the settings.
func newPlatform(cfg *operatorSettings) *depot.Client {
	return depot.NewClient(reception.NewClient("platform"), cfg.platform, cfg.platformKey)
}

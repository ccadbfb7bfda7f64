// Command router is one router of the fleet. Every VM runs the same.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"vanillalug.example"
	"vanillalug.example/cmd/router/settings"
	"vanillalug.example/form"
)

const usage = `router stands between callers and targets.

    router -settings FILE          serve until told to stop (SIGTERM or SIGINT)
    router -deployment FILE        the same on the users' platform
    router -settings FILE -check   check the settings and end
    router -version                print the build and the rules levels it can follow

Exit codes: 0 for a graceful stop, 1 for a failure, 2 for wrong settings or
flags, 3 for a stop at the drain limit with requests still open.

`

// Set at build time with -ldflags "-X main.build=... -X main.levels=1-2".
var (
	build  = "dev"
	levels = ""
)

const (
	exitFailure = 1
	exitUsage   = 2
	exitCut     = 3
)

func main() { os.Exit(run()) }

func run() int {
	file := flag.String("settings", "", "INI file with the settings")
	deployment := flag.String("deployment", "", "INI file with the settings on the users' platform")
	check := flag.Bool("check", false, "check the settings and end")
	version := flag.Bool("version", false, "print the build and end")
	flag.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	follows, err := buildLevels()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *version {
		fmt.Printf("router %s, rules levels %s\n", build, follows)
		return 0
	}
	if *deployment != "" {
		cfg, err := settings.LoadDeployment(*deployment)
		if err != nil {
			return reportSettings(err)
		}
		return serveDeployment(*deployment, cfg)
	}
	cfg, err := settings.Load(*file)
	if err != nil {
		return reportSettings(err)
	}
	if *check {
		fmt.Printf("%s: ok\n", *file)
		return 0
	}
	return serve(cfg, follows)
}

func buildLevels() (vanillalug.LevelRange, error) {
	if levels == "" {
		return vanillalug.SupportedLevels(), nil
	}
	return vanillalug.ParseLevelRange(levels)
}

func reportSettings(err error) int {
	var faults *form.InvalidFileError
	if errors.As(err, &faults) {
		fmt.Fprintf(os.Stderr, "%d faults in the settings:\n", len(faults.Errors()))
	}
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}

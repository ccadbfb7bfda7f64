// Command router routes requests of callers to model engines and services. All
// VMs run the same binary.
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

const usage = `router forwards requests of callers to targets.

    router -settings FILE          serve until SIGTERM or SIGINT
    router -deployment FILE        the same on the users' platform
    router -settings FILE -check   check the settings and exit
    router -version                print the build and the supported rules levels

Exit codes: 0 for a graceful stop, 1 for a failure, 2 for wrong settings or
flags, 3 for a stop at the time limit with requests still open.

`

// Set at build time with -ldflags "-X main.build=... -X main.levels=1-2". Without
// levels, the build supports vanillalug.SupportedLevels.
var (
	build  = "dev"
	levels = ""
)

const (
	exitFailure      = 1
	exitUsage        = 2
	exitOpenRequests = 3
)

func main() { os.Exit(run()) }

func run() int {
	file := flag.String("settings", "", "INI file with the settings")
	deployment := flag.String("deployment", "", "INI file with the settings on the users' platform")
	check := flag.Bool("check", false, "check the settings and exit")
	version := flag.Bool("version", false, "print the build and exit")
	flag.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	supported, err := supportedLevels()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *version {
		fmt.Printf("router %s, rules levels %s\n", build, supported)
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
	return serve(cfg, supported)
}

func supportedLevels() (vanillalug.LevelRange, error) {
	if levels == "" {
		return vanillalug.SupportedLevels(), nil
	}
	return vanillalug.ParseLevelRange(levels)
}

func reportSettings(err error) int {
	var invalid *form.InvalidFileError
	if errors.As(err, &invalid) {
		fmt.Fprintf(os.Stderr, "%d errors in the settings:\n", len(invalid.Errors()))
	}
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}

package main

import (
	"flag"
	"os"
	"strings"
	"time"

	"vanillalug.example/cmd/standin/engine"
	"vanillalug.example/reception"
)

func runEngine(flags *flag.FlagSet, args []string) error {
	listen := flags.String("listen", "127.0.0.1:9001", "IP number and port")
	name := flags.String("name", "engine", "name of the engine")
	models := flags.String("models", "small", "models, separated by commas")
	slots := flags.Int("slots", 16, "requests that run at once")
	cache := flags.Int("cache-tokens", 1_000_000, "prompt tokens that the cache holds")
	interval := flags.Duration("token-interval", 10*time.Millisecond, "time between two tokens")
	prefill := flags.Duration("prefill", 100*time.Microsecond, "time for each prompt token not cached")
	lag := flags.Duration("report-lag", 200*time.Millisecond, "age of the reports of load")
	fenced := flags.Bool("fenced", false, "refuse orders with an old fencing number")
	_ = flags.Parse(args)

	reception.NewLogger("engine", "warn", false, os.Stderr)
	server, err := reception.NewServer("engine-"+*name, *listen)
	if err != nil {
		return err
	}
	e := engine.New(*name,
		engine.WithModels(strings.Split(*models, ",")),
		engine.WithSlots(*slots),
		engine.WithCacheTokens(*cache),
		engine.WithTokenInterval(*interval),
		engine.WithPrefill(*prefill),
		engine.WithReportLag(*lag),
		engine.WithFencing(*fenced),
	)
	e.Register(server)
	return serve(server)
}

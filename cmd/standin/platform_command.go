package main

import (
	"flag"
	"os"

	"vanillalug.example/cmd/standin/store"
	"vanillalug.example/reception"
)

func runPlatform(flags *flag.FlagSet, args []string) error {
	listen := flags.String("listen", "127.0.0.1:9201", "IP number and port")
	key := flags.String("key", "platform-key", "key that clients present")
	_ = flags.Parse(args)

	reception.NewLogger("platform", "warn", false, os.Stderr)
	server, err := reception.NewServer("platform", *listen)
	if err != nil {
		return err
	}
	store.New(*key).Register(server)
	return serve(server)
}

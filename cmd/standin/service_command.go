package main

import (
	"flag"
	"os"

	"vanillalug.example/cmd/standin/service"
	"vanillalug.example/reception"
)

func runService(flags *flag.FlagSet, args []string) error {
	listen := flags.String("listen", "127.0.0.1:9101", "IP number and port")
	name := flags.String("name", "service", "name of the worker")
	_ = flags.Parse(args)

	reception.NewLogger("service", "warn", false, os.Stderr)
	server, err := reception.NewServer("service-"+*name, *listen)
	if err != nil {
		return err
	}
	service.New(*name).Register(server)
	return serve(server)
}

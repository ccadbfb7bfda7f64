package main

import (
	"os"
	"os/signal"
	"syscall"

	"vanillalug.example/reception"
)

// serve runs a stand-in until SIGTERM or SIGINT. It doesn't wait for requests in
// flight.
func serve(server *reception.Server) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	select {
	case <-stop:
		return nil
	case err := <-failed:
		return err
	}
}

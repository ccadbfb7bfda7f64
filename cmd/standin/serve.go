package main

import (
	"os"
	"os/signal"
	"syscall"

	"vanillalug.example/reception"
)

// serve runs a stand-in until the process is told to stop. Stand-ins stop at
// once, requests in progress included.
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

package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"vanillalug.example/cmd/measure/gateway"
)

func runGateway(flags *flag.FlagSet, args []string) error {
	bin := flags.String("bin", "bin", "folder with the programs")
	_ = flags.Parse(args)
	dir, err := os.MkdirTemp("", "vanillalug-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	router, err := filepath.Abs(filepath.Join(*bin, "router"))
	if err != nil {
		return err
	}
	costs, err := gateway.Measure(router, dir)
	if err != nil {
		return err
	}
	fmt.Printf("a request to a plain service: %.0f us of processor time\n", costs.RequestCPU)
	fmt.Printf("an event of a stream: %.1f us\n", costs.EventCPU)
	fmt.Println("resident memory by open streams")
	printFit("router", "bytes", "stream", costs.StreamMemory)
	idle, err := gateway.MeasureIdle(router, dir)
	if err != nil {
		return err
	}
	fmt.Printf("%d idle routers, each: %.2f ms of processor time and %.2f calls to the store a second, %.1f MB\n",
		idle.Routers, idle.CPU, idle.StoreCalls, idle.Memory)
	return nil
}

package main

import (
	"flag"
	"fmt"
	"strings"

	"vanillalug.example/cmd/measure/capacity"
	"vanillalug.example/lugtest/enginetest"
)

func runCapacity(flags *flag.FlagSet, args []string) error {
	seeds := flags.Int("seeds", 3, "number of runs of each pattern")
	routers := flags.Int("routers", 40, "number of routers")
	engines := flags.Int("engines", 24, "number of engines")
	only := flags.String("only", "", "only patterns whose name contains this text")
	way := flags.String("way", "", "only ways whose name contains this text")
	load := flags.Float64("load", 1, "factor of the load")
	_ = flags.Parse(args)
	if *seeds < 1 || *routers < 1 || *engines < 1 {
		return fmt.Errorf("capacity: seeds, routers and engines: want 1 or more")
	}
	d := enginetest.SpeedDeployment(*routers, *engines)
	fmt.Printf("%d routers, %d engines, mean of %d seeds; shares of requests, the worst second, reports in a datagram\n\n", *routers, *engines, *seeds)
	fmt.Println("| pattern | way | in time | pauses under 400 ms | both | worst second | refused | over the limit | reports |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, c := range capacity.Cases() {
		for _, w := range capacity.Ways() {
			if !strings.Contains(c.Name, *only) || !strings.Contains(w.Name, *way) {
				continue
			}
			o := capacity.Run(d, c.Pattern.WithLoad(*load), w, *seeds)
			fmt.Printf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.4f | %.1f |\n",
				c.Name, w.Name, o.InTime, o.Smooth, o.Good, o.Worst, o.Refused, o.OverLimit, o.Reports)
		}
	}
	return nil
}

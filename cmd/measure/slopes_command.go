package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/measure/path"
	"vanillalug.example/cmd/measure/size"
	"vanillalug.example/cmd/measure/slope"
)

// targetCount is the number of targets whose loads are gossiped.
const targetCount = 600

// runSlopes prints each measurement by size and the line fitted to it.
func runSlopes(flags *flag.FlagSet, args []string) error {
	bin := flags.String("bin", "bin", "folder with the programs")
	seed := flags.Uint64("seed", 1, "seed")
	only := flags.String("only", "", "only one of membership, failures, documents, keepers, placement, idle")
	_ = flags.Parse(args)
	fmt.Printf("seed %d\n", *seed)
	parts := []struct {
		name string
		run  func() error
	}{
		{"membership", func() error { return slopeMembership(*seed) }},
		{"failures", func() error { return slopeFailures(*seed) }},
		{"documents", slopeDocuments},
		{"keepers", slopeCacheIndexes},
		{"placement", slopePlacement},
		{"idle", func() error { return slopeIdle(*bin) }},
	}
	for _, p := range parts {
		if *only != "" && *only != p.name {
			continue
		}
		if err := p.run(); err != nil {
			return err
		}
	}
	return nil
}

func slopeMembership(seed uint64) error {
	fmt.Printf("\nmembership and loads of %d targets, by routers, on a fake clock\n", targetCount)
	var messages, bytes, cpu, memory []slope.Point
	for _, n := range []int{18, 50, 100, 200, 410} {
		m := size.MeasureMembership(n, targetCount, seed)
		fmt.Printf("%d routers: dead known after %s, leaving after %s, loads known %.3f, age mean %s, p99 %s, false suspicions %d, false deaths %d\n",
			n, m.Detection, m.Leaving, m.LoadsKnown, m.LoadAge.Round(10*time.Millisecond), m.LoadAgeP99, m.Suspicions, m.FalseDeaths)
		x := float64(n)
		messages = append(messages, slope.Point{Size: x, Value: m.Messages})
		bytes = append(bytes, slope.Point{Size: x, Value: m.Bytes})
		cpu = append(cpu, slope.Point{Size: x, Value: 1e6 * m.CPU})
		memory = append(memory, slope.Point{Size: x, Value: m.Memory})
	}
	printFit("messages sent and received a second, each router", "", "router", messages)
	printFit("bytes of their bodies a second, each router", "bytes", "router", bytes)
	printFit("processor time, each router", "us/s", "router", cpu)
	printFit("state, each router", "bytes", "router", memory)
	return nil
}

// slopeFailures prints how the full number of routers detects losses and recovers
// from them.
func slopeFailures(seed uint64) error {
	const routerCount = 410
	fmt.Printf("\nlosses among %d routers, on a fake clock\n", routerCount)
	for _, lost := range []int{1, 6, 20, 59} {
		f := size.MeasureLoss(routerCount, lost, seed)
		fmt.Printf("%d adjacent routers lost: known everywhere after %s, back everywhere %s after their start, %.0f bytes a second each at most, %d false deaths\n",
			lost, f.Detection, f.Recovery, f.PeakBytes, f.FalseDeaths)
	}
	f := size.MeasurePartition(routerCount, seed)
	fmt.Printf("regions of %d part: known everywhere after %s, whole again %s after the link is back, %.0f bytes a second each at most\n",
		f.Lost, f.Detection, f.Recovery, f.PeakBytes)
	return nil
}

func slopeDocuments() error {
	fmt.Println("\nfleet document, by sections (3 engines to 2 workspaces)")
	var bytes, check, memory []slope.Point
	for _, n := range []int{125, 250, 500, 1000} {
		d, err := size.MeasureDocument(n*3/5, n*2/5)
		if err != nil {
			return err
		}
		x := float64(n)
		bytes = append(bytes, slope.Point{Size: x, Value: float64(d.Bytes)})
		check = append(check, slope.Point{Size: x, Value: float64(d.Check.Microseconds())})
		memory = append(memory, slope.Point{Size: x, Value: float64(d.Memory)})
	}
	printFit("canonical size", "bytes", "section", bytes)
	printFit("processor time to check", "us", "section", check)
	printFit("memory in force", "bytes", "section", memory)
	return nil
}

func slopeCacheIndexes() error {
	fmt.Println("\nmemory of chats, by chats at one engine")
	var memory, lookup []slope.Point
	for _, n := range []int{12500, 25000, 50000, 100000, 200000} {
		k := size.MeasureCacheIndex(n)
		memory = append(memory, slope.Point{Size: float64(n), Value: float64(k.Memory)})
		lookup = append(lookup, slope.Point{Size: float64(n), Value: float64(k.Lookup.Nanoseconds())})
	}
	printFit("memory", "bytes", "chat", memory)
	printFit("one question", "ns", "chat", lookup)
	return nil
}

func slopePlacement() error {
	fmt.Println("\none admission, by engines of a pool")
	var points []slope.Point
	for _, n := range []int{10, 25, 50, 100} {
		d, err := size.MeasurePlacement(n)
		if err != nil {
			return err
		}
		points = append(points, slope.Point{Size: float64(n), Value: float64(d.Nanoseconds())})
	}
	printFit("processor time", "ns", "engine", points)
	return nil
}

func slopeIdle(bin string) error {
	fmt.Println("\nidle routers as processes, with 10 engines and 8 workers, each router")
	var bytes, cores, memory []slope.Point
	for _, n := range []int{3, 6, 12, 18, 36} {
		opts := []stage.Option{stage.WithRouters(n), stage.WithEngines(10), stage.WithWorkers(4)}
		err := withStage(context.Background(), bin, opts, func(s *stage.Stage) error {
			i, err := path.MeasureIdle(context.Background(), s, n)
			x := float64(n)
			fmt.Printf("%d routers, bytes a second by kind: %s\n", n, formatKinds(i.BytesByKind))
			bytes = append(bytes, slope.Point{Size: x, Value: i.Bytes})
			cores = append(cores, slope.Point{Size: x, Value: 1e6 * i.Cores})
			memory = append(memory, slope.Point{Size: x, Value: i.Memory})
			return err
		})
		if err != nil {
			return err
		}
	}
	printFit("control bytes a second", "bytes", "router", bytes)
	printFit("processor time", "us/s", "router", cores)
	printFit("resident memory", "bytes", "router", memory)
	return nil
}

func formatKinds(kinds map[string]float64) string {
	var out []string
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		out = append(out, fmt.Sprintf("%s %.0f", kind, kinds[kind]))
	}
	return strings.Join(out, ", ")
}

package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"vanillalug.example/cmd/measure/placement"
)

// controlKinds are the kinds of control traffic in the table.
var controlKinds = []string{"probe", "report", "cache", "credits", "memory"}

func runPlacement(flags *flag.FlagSet, args []string) {
	seeds := flags.Uint64("seeds", 3, "number of seeds, starting at 1")
	only := flags.String("only", "", "only cases whose name contains this text")
	recovery := flags.Bool("recovery", false, "replace all routers at once and print reuse and wait by minute around it")
	_ = flags.Parse(args)
	if *recovery {
		printRecovery(*seeds)
		return
	}
	for _, d := range placement.Deployments() {
		fmt.Printf("\n%s, seeds 1 to %d\n", d.Name(), *seeds)
		printPlacement(os.Stdout, d, *seeds, *only)
	}
}

// printRecovery prints reuse and waits by minute around the replacement of all
// routers, for the case that the product runs.
func printRecovery(seeds uint64) {
	cases := placement.Cases()
	product := cases[slices.IndexFunc(cases, func(c placement.Case) bool { return c.Name() == productCase })]
	at := int(placement.ReplaceAt / time.Minute)
	for _, d := range placement.Deployments() {
		rs := runAll(d.WithReplacement(), []placement.Case{product}, seeds)[0]
		fmt.Printf("%s, every router replaced at minute %d, seeds 1 to %d\n", d.Name(), at, seeds)
		for i := at - 2; i < at+7; i++ {
			reuse := mean(rs, func(r *placement.Result) float64 { return r.ReuseAt(i) })
			wait := mean(rs, func(r *placement.Result) float64 { return r.WaitAt(i, 0.99).Seconds() })
			fmt.Printf("  minute %d: reuse %.3f, 99th-percentile wait %.2f s\n", i, reuse, wait)
		}
	}
}

// productCase is the case that the product runs.
const productCase = "admitting, keeper, balance, wait up to cold cost"

// printPlacement runs every case with every seed and prints the means and the
// highest skew.
func printPlacement(out io.Writer, d placement.Deployment, seeds uint64, only string) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "case\treuse\tof best\tskew worst\tskew p99\trefused %\twait p99 interactive\tbatch\t")
	for _, k := range controlKinds {
		fmt.Fprintf(w, "%s B/s\t", k)
	}
	fmt.Fprintln(w, "control B/s\t")
	cases := placement.Cases()
	results := runAll(d, cases, seeds)
	best := mean(results[len(cases)-1], (*placement.Result).Reuse)
	for i, c := range cases {
		if strings.Contains(c.Name(), only) {
			printCase(w, c, results[i], best)
		}
	}
	_ = w.Flush()
}

func printCase(w io.Writer, c placement.Case, rs []*placement.Result, best float64) {
	reuse := mean(rs, (*placement.Result).Reuse)
	worst := 0.0
	for _, r := range rs {
		worst = max(worst, r.Skew(1))
	}
	fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%s\t%s\t", c.Name(), reuse, reuse/best, worst,
		mean(rs, func(r *placement.Result) float64 { return r.Skew(0.99) }),
		100*mean(rs, (*placement.Result).Rejected), p99Wait(rs, "interactive"), p99Wait(rs, "batch"))
	total := 0.0
	for _, k := range controlKinds {
		n := mean(rs, func(r *placement.Result) float64 { return r.ControlRate(k) })
		total += n
		fmt.Fprintf(w, "%.0f\t", n)
	}
	fmt.Fprintf(w, "%.0f\t\n", total)
}

func p99Wait(rs []*placement.Result, class string) time.Duration {
	s := mean(rs, func(r *placement.Result) float64 { return r.Wait(class, 0.99).Seconds() })
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond)
}

func mean(rs []*placement.Result, f func(*placement.Result) float64) float64 {
	sum := 0.0
	for _, r := range rs {
		sum += f(r)
	}
	return sum / float64(len(rs))
}

// runAll runs every case with every seed, with one run per core at a time.
func runAll(d placement.Deployment, cases []placement.Case, seeds uint64) [][]*placement.Result {
	results := make([][]*placement.Result, len(cases))
	slots := make(chan struct{}, runtime.NumCPU())
	var wg sync.WaitGroup
	for i, c := range cases {
		results[i] = make([]*placement.Result, seeds)
		for seed := range seeds {
			slots <- struct{}{}
			wg.Go(func() {
				results[i][seed] = placement.Run(d, c, seed+1)
				<-slots
			})
		}
	}
	wg.Wait()
	return results
}

package main

import (
	"flag"
	"fmt"

	"vanillalug.example/cmd/measure/admission"
)

const (
	defaultAdmissionSeeds = 100
	defaultPlotSeeds      = 10
)

func runAdmission(flags *flag.FlagSet, args []string) error {
	seeds := flags.Int("seeds", defaultAdmissionSeeds, "number of runs of each pattern")
	plot := flags.String("plot", "", "file (SVG or PNG) for a plot of the share of requests in time")
	plotSeeds := flags.Int("plot-seeds", defaultPlotSeeds, "number of runs for each point of the plot")
	_ = flags.Parse(args)
	if *seeds < 1 || *plotSeeds < 1 {
		return fmt.Errorf("admission: seeds and plot-seeds: want 1 or more")
	}
	fmt.Printf("mean and half of the 95%% interval over %d seeds; shares of requests\n\n", *seeds)
	fmt.Println("| pattern | way | in time | served | refused | expired | sends | tokens read again | sends over the limit |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, c := range admission.Cases() {
		for _, w := range admission.Policies() {
			o := admission.Run(c.Pattern, w, *seeds)
			fmt.Printf("| %s | %s | %s | %s | %s | %s | %s | %.0f ± %.0f | %s |\n", c.Name, w.Name, formatEstimate(o.InTime),
				formatEstimate(o.Served), formatEstimate(o.Rejected), formatEstimate(o.Expired), formatEstimate(o.Sends),
				o.Reprefilled.Mean, o.Reprefilled.HalfWidth, formatEstimate(o.OverLimit))
		}
	}
	if *plot == "" {
		return nil
	}
	return admission.Plot(*plot, admission.SurgeFactors(), *plotSeeds)
}

func formatEstimate(e admission.Estimate) string {
	return fmt.Sprintf("%.3f ± %.3f", e.Mean, e.HalfWidth)
}

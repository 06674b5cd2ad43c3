// Command measure runs the whole system under load and prints the measured figures.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/standin/measure"
)

func main() {
	options := measure.Options{Out: os.Stdout}
	c := &cobra.Command{
		Use:           "measure --bin FOLDER",
		Short:         "Measure both deployments under load and compare them with the baseline",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return measure.Run(ctx, options)
		},
	}
	flags := c.Flags()
	flags.StringVar(&options.Bin, "bin", "build", "folder of the built programs")
	flags.StringVar(&options.Profile, "profile", "", "horsebox or lending; empty for both")
	flags.StringVar(&options.Scenario, "scenario", "",
		"overhead, crest, head-of-line, slow-target, region-link or imbalance; empty for all")
	flags.BoolVar(&options.Short, "short", false, "divide all durations by five, only to check that the measurements work")
	flags.BoolVar(&options.NoBaseline, "no-baseline", false, "skip the baseline runs")
	flags.BoolVar(&options.Keep, "keep", false, "keep settings and logs")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the load")
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "measure failed:", err)
		os.Exit(1)
	}
}

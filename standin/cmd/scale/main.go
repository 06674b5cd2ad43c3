// Command scale measures the cost of the control plane of a cell at several sizes, and of
// forwarding a request.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/standin/scale"
)

func main() {
	options := scale.Options{Out: os.Stdout}
	c := &cobra.Command{
		Use:           "scale --bin FOLDER",
		Short:         "Measure the cost of a cell at several sizes, and of forwarding a request",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return scale.Run(ctx, options)
		},
	}
	flags := c.Flags()
	flags.StringVar(&options.Bin, "bin", "build", "folder of the built programs")
	flags.IntSliceVar(&options.Sizes, "sizes", []int{4, 8, 16, 32}, "cell sizes in nodes")
	flags.DurationVar(&options.Window, "window", 30*time.Second, "time for which an idle cell is measured")
	flags.BoolVar(&options.Forward, "forward", true, "measure forwarded requests too")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the load of forwarded requests")
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "scale failed:", err)
		os.Exit(1)
	}
}

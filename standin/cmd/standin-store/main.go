// Command standin-store serves the stand-in for the platform's object store, in memory.
package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/standin/serve"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

func main() {
	if err := command().Execute(); err != nil {
		slog.Error("standin-store failed", "reason", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var listen string
	var options store.Options
	cmd := &cobra.Command{
		Use:           "standin-store",
		Short:         "Serve a stand-in for the platform's object store, in memory",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return serve.UntilSignal(listen, store.New(options), serve.Options{})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7000", "IP address and port to listen on")
	flags.Float64Var(&options.ReadsPerSecond, "reads", store.DefaultReadsPerSecond, "rate limit for reads, per second")
	flags.Float64Var(&options.WritesPerSecond, "writes", store.DefaultWritesPerSecond, "rate limit for writes, per second")
	flags.Uint64Var(&options.Memory.Seed, "seed", 1, "seed of random faults")
	return cmd
}

// Command standin-load is a load generator: it sends the load described by a plan in JSON
// and prints the result as JSON.
package main

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/standin/load"
)

func main() {
	if err := command().Execute(); err != nil {
		slog.Error("standin-load failed", "reason", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var planFile string
	cmd := &cobra.Command{
		Use:           "standin-load --plan FILE",
		Short:         "Send open-loop load to nodes and print the measurements as JSON",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return run(ctx, planFile, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&planFile, "plan", "", "file with the plan in JSON")
	_ = cmd.MarkFlagRequired("plan")
	cmd.SetContext(context.Background())
	return cmd
}

func run(ctx context.Context, planFile string, out io.Writer) error {
	text, err := os.ReadFile(planFile)
	if err != nil {
		return errors.Wrap(err, "read plan")
	}
	var plan load.Plan
	if err := json.Unmarshal(text, &plan); err != nil {
		return errors.Wrapf(err, "decode plan %s", planFile)
	}
	result, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(result), "write result")
}

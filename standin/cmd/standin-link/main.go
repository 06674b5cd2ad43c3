// Command standin-link simulates the network between regions and failure domains: it relays
// TCP connections with the delays and limits of a plan in JSON.
package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/standin/link"
	"github.com/auburnrelay/auburnrelay/standin/serve"
)

func main() {
	if err := command().Execute(); err != nil {
		slog.Error("standin-link failed", "reason", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var listen, planFile string
	cmd := &cobra.Command{
		Use:           "standin-link --plan FILE",
		Short:         "Simulate a network on one machine: delays, a region link of limited bandwidth, partitions",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(listen, planFile) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7200", "IP address and port of the admin interface")
	cmd.Flags().StringVar(&planFile, "plan", "", "file with the plan in JSON")
	_ = cmd.MarkFlagRequired("plan")
	return cmd
}

func run(listen, planFile string) error {
	text, err := os.ReadFile(planFile)
	if err != nil {
		return errors.Wrap(err, "read plan")
	}
	var plan link.Plan
	if err := json.Unmarshal(text, &plan); err != nil {
		return errors.Wrapf(err, "decode plan %s", planFile)
	}
	relay, err := link.Listen(plan)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return serve.UntilSignal(listen, relay.Handler(), serve.Options{}, serve.Actor{
		Execute:   func() error { return relay.Run(ctx) },
		Interrupt: func(error) { cancel() },
	})
}

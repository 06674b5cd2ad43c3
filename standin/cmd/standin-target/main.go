// Command standin-target serves the stand-in for a target: a back end that simulates work.
package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/standin/execlog"
	"github.com/auburnrelay/auburnrelay/standin/serve"
	"github.com/auburnrelay/auburnrelay/standin/target"
)

func main() {
	if err := command().Execute(); err != nil {
		slog.Error("standin-target failed", "reason", err)
		os.Exit(1)
	}
}

// settings holds the values of the flags.
type settings struct {
	target  target.Config
	listen  string
	logFile string
	// work maps kinds of work to service times such as "5ms".
	work  map[string]string
	serve serve.Options
}

func command() *cobra.Command {
	var s settings
	cmd := &cobra.Command{
		Use:           "standin-target",
		Short:         "Serve a stand-in for a target, which announces itself to the node on its VM",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(s) },
	}
	flags := cmd.Flags()
	flags.StringVar(&s.listen, "listen", "127.0.0.1:7100", "IP address and port to listen on")
	flags.StringVar(&s.logFile, "log", "", "file that the execution log is appended to")
	flags.StringToStringVar(&s.work, "work", map[string]string{"default": "5ms"},
		"mean service time by kind of work, the path segment after the key")
	flags.DurationVar(&s.serve.DrainTimeout, "drain", 30*time.Second, "maximum wait for running work after a signal")
	flags.IntVar(&s.serve.MaxConnections, "connections", 100, "maximum number of open connections")
	flags.DurationVar(&s.serve.ConnectDelay, "connection-cost", time.Millisecond, "delay of the first read of a new connection")
	c := &s.target
	flags.StringVar(&c.Name, "name", "target", "name of the target")
	flags.StringVar(&c.Node, "node", "", "base URL of the node to announce to; empty for none")
	flags.IntVar(&c.Slots, "slots", 6, "maximum number of requests that run at once")
	flags.IntVar(&c.Queue, "queue", 64, "maximum number of requests that wait for a slot; further ones are shed")
	flags.BoolVar(&c.CheckFences, "check-fences", false, "refuse work under an outdated fence or without a valid grant")
	flags.StringSliceVar(&c.Services, "services", nil, "services announced; empty for all")
	flags.DurationVar(&c.StartTime, "start", 0, "time in the state starting")
	flags.DurationVar(&c.ColdTime, "cold", 0, "length of the warm-up, during which work is slower")
	flags.Float64Var(&c.ColdFactor, "cold-factor", 4, "factor of service times at the start of the warm-up")
	flags.DurationVar(&c.ProbeCost, "probe-cost", 6*time.Millisecond, "time that a health probe takes")
	flags.StringVar(&c.PoisonKey, "poison-key", "", "key whose requests crash this process; empty for none")
	flags.Uint64Var(&c.Seed, "seed", 1, "seed of random service times")
	return cmd
}

func run(s settings) error {
	times, err := serviceTimes(s.work)
	if err != nil {
		return err
	}
	out, err := openLog(s.logFile)
	if err != nil {
		return err
	}
	s.target.ServiceTimes = times
	s.target.Address = s.listen
	s.target.Log = execlog.NewWriter(out)
	t := target.New(s.target)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.serve.OnStop = t.DrainAndWait
	return serve.UntilSignal(s.listen, t, s.serve, serve.Actor{
		Execute:   func() error { return t.Announce(ctx) },
		Interrupt: func(error) { cancel() },
	})
}

func serviceTimes(work map[string]string) (map[string]time.Duration, error) {
	times := make(map[string]time.Duration)
	for kind, text := range work {
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, errors.Wrapf(err, "invalid service time in --work %s", kind)
		}
		if kind == "default" {
			kind = ""
		}
		times[kind] = d
	}
	return times, nil
}

func openLog(name string) (io.Writer, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return file, errors.Wrap(err, "open execution log")
}

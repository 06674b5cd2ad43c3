package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/publish"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/sheet"
)

const (
	// maxUnconfirmedMoveShare is the share of a sheet's slices that may change owners without
	// --confirm-moves.
	maxUnconfirmedMoveShare = 0.2
	// storeRetryDelay is the delay between attempts of a store call.
	storeRetryDelay = 200 * time.Millisecond
	// storeTimeout is the timeout of a command's store calls, including retries.
	storeTimeout = 30 * time.Second
)

func (p *program) sheetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "sheet",
		Short: "Check, compare, apply and show sheets",
		Long: `The sheet lists the services, the ranges into which their keys are divided, and the
region and the targets that may serve each range. Operators usually apply a new one each
morning. It is a CSV file with the columns service, kind (keyed or shared), from, to,
region, and optionally cell, targets and slices. Every key of a service must lie in exactly
one range.`,
	}
	c.AddCommand(p.sheetCheckCommand(), p.sheetDiffCommand(), p.sheetApplyCommand(),
		p.sheetShowCommand(), p.sheetHistoryCommand())
	return groupCommand(c)
}

func (p *program) sheetCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a sheet and list every fault with its line and column",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, layout, err := readSheet(args[0])
			if err != nil {
				return err
			}
			return p.printf("%s: no faults; %s\n", args[0], describeSize(layout))
		},
	}
}

func (p *program) sheetDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what a sheet would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, layout, err := readSheet(args[0])
			if err != nil {
				return err
			}
			return p.withPublisher(c.Context(), func(ctx context.Context, publisher publish.Publisher) error {
				base, err := currentOrNone(ctx, publisher)
				if err != nil {
					return err
				}
				return p.printDiff(base, sheet.Compare(base.Layout, layout))
			})
		},
	}
}

// currentOrNone returns the accepted sheet, or the zero value if there is none.
func currentOrNone(ctx context.Context, publisher publish.Publisher) (publish.Accepted, error) {
	accepted, err := publisher.Current(ctx)
	if errors.Is(err, publish.ErrNoSheet) {
		return publish.Accepted{}, nil
	}
	return accepted, err
}

func (p *program) printDiff(base publish.Accepted, d sheet.Diff) error {
	if base.Version == 0 {
		_ = p.printf("no sheet is accepted yet\n")
	} else {
		_ = p.printf("against version %d, applied by %s on %s\n", base.Version, base.Who, formatTime(base.When))
	}
	for _, change := range d.Changes {
		_ = p.printf("%s\n", change)
	}
	if d.Empty() {
		return p.printf("nothing changes\n")
	}
	return p.printf("%d changes; %s\n", len(d.Changes), describeMoves(d))
}

func describeMoves(d sheet.Diff) string {
	return fmt.Sprintf("%d of %d slices change owners (%.0f %%)", d.MovedSlices, d.Slices, 100*d.MovedShare())
}

func readSheet(path string) ([]byte, keyspace.Layout, error) {
	text, err := readInput(path)
	if err != nil {
		return nil, keyspace.Layout{}, errors.Wrap(err, "read the sheet")
	}
	layout, err := sheet.Parse(text)
	if err != nil {
		return nil, keyspace.Layout{}, errors.Wrap(err, path)
	}
	return text, layout, nil
}

// readInput reads a file, or standard input if path is "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

func describeSize(l keyspace.Layout) string {
	ranges := 0
	for _, service := range l.Services {
		ranges += len(service.Ranges)
	}
	return fmt.Sprintf("%d services, %d ranges", len(l.Services), ranges)
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func (p *program) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(p.Out, format, args...)
	return err
}

func (p *program) withPublisher(ctx context.Context, do func(context.Context, publish.Publisher) error) error {
	store, err := p.openStore()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return do(ctx, publish.Publisher{Store: store, Pause: p.Pause})
}

// Sleep waits between attempts of a store call. It returns ctx.Err() when ctx ends.
func Sleep(ctx context.Context, _ int) error {
	timer := time.NewTimer(storeRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

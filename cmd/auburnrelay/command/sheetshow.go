package command

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/publish"
	"github.com/auburnrelay/auburnrelay/core/sheet"
	"github.com/auburnrelay/auburnrelay/objects"
)

func (p *program) sheetShowCommand() *cobra.Command {
	var version int64
	var asCSV, asJSON bool
	c := &cobra.Command{
		Use:   "show",
		Short: "Show an accepted sheet",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return p.withPublisher(c.Context(), func(ctx context.Context, publisher publish.Publisher) error {
				accepted, err := findSheet(ctx, publisher, objects.Version(version))
				if err != nil {
					return err
				}
				return p.showSheet(accepted, asCSV, asJSON)
			})
		},
	}
	c.Flags().Int64Var(&version, "version", 0, "version to show; 0 for the newest")
	c.Flags().BoolVar(&asCSV, "csv", false, "print the CSV text as submitted")
	c.Flags().BoolVar(&asJSON, "json", false, "print the stored object")
	c.MarkFlagsMutuallyExclusive("csv", "json")
	return c
}

// findSheet returns the accepted sheet with the version, or the newest one if version is zero.
func findSheet(ctx context.Context, publisher publish.Publisher, version objects.Version) (publish.Accepted, error) {
	accepted, err := publisher.Current(ctx)
	for err == nil && version != 0 && accepted.Version > version {
		accepted, err = publisher.Previous(ctx, accepted)
	}
	if err == nil && version != 0 && accepted.Version != version {
		err = publish.ErrNoSheet
	}
	return accepted, errors.Wrapf(err, "sheet show --version %d", version)
}

func (p *program) showSheet(a publish.Accepted, asCSV, asJSON bool) error {
	if asCSV {
		return p.printf("%s", a.CSV)
	}
	if asJSON {
		encoder := json.NewEncoder(p.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(a.StoredSheet)
	}
	_ = p.printf("version %d, number %d, applied by %s on %s\n", a.Version, a.Number, a.Who, formatTime(a.When))
	_ = p.printf("sha256 %s\n", a.Digest)
	for _, service := range a.Layout.Services {
		for _, r := range service.Ranges {
			_ = p.printf("line %d: %s\n", r.Line, sheet.Describe(r))
		}
	}
	return nil
}

func (p *program) sheetHistoryCommand() *cobra.Command {
	var limit int
	c := &cobra.Command{
		Use:   "history",
		Short: "List accepted sheets, newest first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return p.withPublisher(c.Context(), func(ctx context.Context, publisher publish.Publisher) error {
				return p.printHistory(ctx, publisher, limit)
			})
		},
	}
	c.Flags().IntVar(&limit, "limit", 20, "number of sheets to list")
	return c
}

func (p *program) printHistory(ctx context.Context, publisher publish.Publisher, limit int) error {
	accepted, err := publisher.Current(ctx)
	for range limit {
		if errors.Is(err, publish.ErrNoSheet) {
			return nil
		}
		if err != nil {
			return err
		}
		_ = p.printf("%d\tnumber %d\t%s\t%s\t%s\t%s\n", accepted.Version, accepted.Number,
			formatTime(accepted.When), accepted.Who, describeSize(accepted.Layout), accepted.Digest[:12])
		accepted, err = publisher.Previous(ctx, accepted)
	}
	return nil
}

package command

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/publish"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/sheet"
	"github.com/auburnrelay/auburnrelay/objects"
)

// applyOptions are the flags of "sheet apply".
type applyOptions struct {
	who          string
	seen         int64
	confirmMoves bool
	force        bool
}

func (p *program) sheetApplyCommand() *cobra.Command {
	var o applyOptions
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a sheet",
		Long: `Apply a sheet. A single conditional write replaces the accepted sheet, provided that its
version is still the one that the new sheet is based on (--seen; by default the version
accepted when the command starts). If another sheet was accepted meanwhile, the sheet is
not applied and the difference is printed. Applying the accepted sheet again changes
nothing.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, layout, err := readSheet(args[0])
			if err != nil {
				return err
			}
			return p.withPublisher(c.Context(), func(ctx context.Context, publisher publish.Publisher) error {
				return p.apply(ctx, publisher, o, text, layout)
			})
		},
	}
	c.Flags().StringVar(&o.who, "who", p.User, "name of the operator")
	c.Flags().Int64Var(&o.seen, "seen", -1, "version that the sheet is based on, as printed by \"sheet diff\"; 0 if there is none, -1 for the accepted version")
	c.Flags().BoolVar(&o.confirmMoves, "confirm-moves", false, "accept a sheet that changes the owners of many slices")
	c.Flags().BoolVar(&o.force, "force", false, "accept a sheet with ranges that no target may serve")
	return c
}

func (p *program) apply(ctx context.Context, publisher publish.Publisher, o applyOptions, text []byte, layout keyspace.Layout) error {
	base, err := currentOrNone(ctx, publisher)
	if err != nil {
		return err
	}
	if base.Version != 0 && base.Digest == sheet.Digest(text) {
		return p.printf("version %d is this sheet already; nothing changed\n", base.Version)
	}
	if o.seen >= 0 && objects.Version(o.seen) != base.Version {
		return p.reportRace(ctx, publisher, layout)
	}
	diff := sheet.Compare(base.Layout, layout)
	if err := p.checkMoves(base, diff, o.confirmMoves); err != nil {
		return err
	}
	if err := p.checkServed(ctx, publisher, base.Layout, layout, o.force); err != nil {
		return err
	}
	accepted, err := publisher.Publish(ctx, publish.Offer{
		CSV: text, Layout: layout, Who: o.who, When: p.Now().UTC(), ID: p.NewID(), Base: base,
	})
	if errors.Is(err, publish.ErrRaced) {
		return p.reportRace(ctx, publisher, layout)
	}
	if errors.Is(err, publish.ErrUnresolved) {
		return errors.WithHint(err, "apply the same sheet again to find out; that is safe")
	}
	if err != nil {
		return err
	}
	return p.printf("accepted as version %d; %d changes; %s\n", accepted.Version, len(diff.Changes), describeMoves(diff))
}

// checkMoves returns ErrRefused if the sheet moves more than maxUnconfirmedMoveShare of the slices
// and the operator has not confirmed it.
func (p *program) checkMoves(base publish.Accepted, d sheet.Diff, confirmed bool) error {
	if confirmed || d.MovedShare() <= maxUnconfirmedMoveShare {
		return nil
	}
	if err := p.printDiff(base, d); err != nil {
		return err
	}
	return errors.Wrapf(ErrRefused, "%s; repeat with --confirm-moves if this is meant", describeMoves(d))
}

// reportRace prints how the offered sheet differs from the one accepted meanwhile, and returns
// ErrRaced with the name of the operator who applied that one.
func (p *program) reportRace(ctx context.Context, publisher publish.Publisher, layout keyspace.Layout) error {
	winner, err := currentOrNone(ctx, publisher)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read the sheet accepted meanwhile"), publish.ErrRaced)
	}
	_ = p.printf("not applied: another sheet was accepted meanwhile\n")
	_ = p.printf("changes from that sheet to yours:\n")
	if err := p.printDiff(winner, sheet.Compare(winner.Layout, layout)); err != nil {
		return err
	}
	return errors.Wrapf(publish.ErrRaced, "version %d by %s", winner.Version, winner.Who)
}

package command

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/fleetview"
	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/publish"
	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/stop"
	"github.com/auburnrelay/auburnrelay/objects"
)

// StopStatus is one planned stop with its phase.
type StopStatus struct {
	ID    string     `json:"id"`
	Scope stop.Scope `json:"scope"`
	At    time.Time  `json:"at"`
	Who   string     `json:"who"`
	Phase stop.Phase `json:"phase"`
	// Slices and InFlight are the numbers of slices that the VMs still own and of requests
	// that they still run.
	Slices   int    `json:"slices"`
	InFlight uint32 `json:"in_flight"`
}

// planOptions are the flags of "stop plan".
type planOptions struct {
	at, who string
	force   bool
}

func (p *program) stopCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "stop",
		Short: "Plan, list and cancel stops of targets, VMs and failure domains",
		Long: `A planned stop drains the targets in its scope: new requests go elsewhere, keys are handed
over and requests in flight are finished. Stop the machines when the phase is "ready". A
VM that is started again afterwards is used again.`,
	}
	c.AddCommand(p.stopPlanCommand(), p.stopListCommand(), p.stopCancelCommand())
	return groupCommand(c)
}

func (p *program) stopPlanCommand() *cobra.Command {
	var o planOptions
	c := &cobra.Command{
		Use:       "plan target|vm|failure-domain NAME",
		Short:     "Plan a stop that begins at once or at a given time",
		Long:      "Plan a stop. It is refused if a key range would be left without a target, unless --force is given.",
		Args:      cobra.ExactArgs(2),
		ValidArgs: []string{string(stop.Target), string(stop.VM), string(stop.FailureDomain)},
		RunE: func(c *cobra.Command, args []string) error {
			scope := stop.Scope{Kind: stop.Kind(args[0]), Name: args[1]}
			return p.withPublisher(c.Context(), func(ctx context.Context, publisher publish.Publisher) error {
				return p.planStop(ctx, publisher, scope, o)
			})
		},
	}
	c.Flags().StringVar(&o.at, "at", "", "start time of the stop, such as 2026-11-30T22:00:00Z (default: at once)")
	c.Flags().StringVar(&o.who, "who", p.User, "name of the operator")
	c.Flags().BoolVar(&o.force, "force", false, "plan the stop even if a key range would be left without a target")
	return c
}

func (p *program) planStop(ctx context.Context, publisher publish.Publisher, scope stop.Scope, o planOptions) error {
	if err := scope.Check(); err != nil {
		return err
	}
	s := stop.Stop{ID: p.NewID(), Scope: scope, At: p.Now().UTC(), Who: o.who, Planned: p.Now().UTC(), Forced: o.force}
	if o.at != "" {
		at, err := time.Parse(time.RFC3339, o.at)
		if err != nil {
			return errors.Wrapf(ErrUsage, "--at %q is not a time such as 2026-11-30T22:00:00Z", o.at)
		}
		s.At = at.UTC()
	}
	if err := p.checkStop(ctx, publisher, s); err != nil {
		return err
	}
	if err := p.putStop(ctx, publisher, s, 0, s.ID); err != nil {
		return err
	}
	return p.confirmStop(ctx, publisher, s)
}

// confirmStop repeats the check after the stop was written, because another operator may
// have planned a stop at the same time, and both together may leave a range without a
// target. It cancels the stop in that case.
func (p *program) confirmStop(ctx context.Context, publisher publish.Publisher, s stop.Stop) error {
	refused := p.checkStop(ctx, publisher, s)
	if refused == nil {
		return p.printf("planned stop %s of %s %s, to begin %s\n", s.ID, s.Scope.Kind, s.Scope.Name, formatTime(s.At))
	}
	if err := p.cancelStop(ctx, publisher, s.ID, s.Who); err != nil {
		return errors.CombineErrors(refused, err)
	}
	return refused
}

// checkStop returns ErrRefused if no node is in the stop's scope or, unless forced, if the
// stop would leave a range without a target. It prints these ranges.
func (p *program) checkStop(ctx context.Context, publisher publish.Publisher, s stop.Stop) error {
	current, err := currentOrNone(ctx, publisher)
	if err != nil {
		return err
	}
	records, err := fleetview.Cells(ctx, publisher.Store)
	if err != nil {
		return err
	}
	members := fleetview.Members(records)
	if !matchesAny(s.Scope, members) {
		return errors.Wrapf(ErrRefused, "no node is in %s %q", s.Scope.Kind, s.Scope.Name)
	}
	stored, progress, err := fleetview.Stops(ctx, publisher.Store)
	if err != nil {
		return err
	}
	others := stop.Effective(stopsExcept(s.ID, stored), progress, members, p.Now())
	unserved := stop.Check(s, others, current.Layout, members)
	for _, u := range unserved {
		_ = p.printf("%s\n", u)
	}
	if len(unserved) > 0 && !s.Forced {
		return errors.Wrapf(ErrRefused, "%d ranges would have no target; repeat with --force if this is meant", len(unserved))
	}
	return nil
}

func matchesAny(scope stop.Scope, members []stop.Member) bool {
	for _, m := range members {
		if scope.Includes(m) {
			return true
		}
	}
	return false
}

func stopsExcept(id string, stored []fleetview.StoredStop) []stop.Stop {
	var others []stop.Stop
	for _, s := range stored {
		if s.ID != id {
			others = append(others, s.Stop)
		}
	}
	return others
}

// putStop writes the stop if its version in the store is the expected one. If the answer of
// the store is lost, the id of the write shows whether it took effect.
func (p *program) putStop(ctx context.Context, publisher publish.Publisher, s stop.Stop, expected objects.Version, writeID string) error {
	value, err := s.Encode()
	if err != nil {
		return errors.Wrap(err, "encode the stop")
	}
	_, err = publisher.Put(ctx, s.Key(), value, expected, writeID)
	return errors.Wrapf(err, "write the stop %s", s.ID)
}

func (p *program) stopCancelCommand() *cobra.Command {
	var who string
	c := &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a planned stop; the targets it drained are used again",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return p.withPublisher(c.Context(), func(ctx context.Context, publisher publish.Publisher) error {
				if err := p.cancelStop(ctx, publisher, args[0], who); err != nil {
					return err
				}
				return p.printf("cancelled stop %s\n", args[0])
			})
		},
	}
	c.Flags().StringVar(&who, "who", p.User, "name of the operator")
	return c
}

func (p *program) cancelStop(ctx context.Context, publisher publish.Publisher, id, who string) error {
	object, err := publisher.Get(ctx, stop.KeyPrefix+id)
	if errors.Is(err, objects.ErrNotFound) {
		return errors.Wrapf(ErrNoStop, "%s", id)
	}
	if err != nil {
		return errors.Wrap(err, "read the stop")
	}
	s, err := stop.Decode(object.Value)
	if err != nil || s.IsCancelled() {
		return err
	}
	s.CancelledBy, s.CancelledAt = who, p.Now().UTC()
	return p.putStop(ctx, publisher, s, object.Version, p.NewID())
}

func (p *program) stopListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List planned stops with their phases",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return p.withPublisher(c.Context(), func(ctx context.Context, publisher publish.Publisher) error {
				records, err := fleetview.Cells(ctx, publisher.Store)
				if err != nil {
					return err
				}
				stops, err := p.stopStatuses(ctx, publisher.Store, records)
				if err != nil {
					return err
				}
				return p.printStops(stops)
			})
		},
	}
}

func (p *program) stopStatuses(ctx context.Context, store objects.Store, records []*cell.Record) ([]StopStatus, error) {
	stored, progress, err := fleetview.Stops(ctx, store)
	if err != nil {
		return nil, err
	}
	members := fleetview.Members(records)
	var all []StopStatus
	for _, s := range stored {
		status := StopStatus{ID: s.ID, Scope: s.Scope, At: s.At, Who: s.Who}
		var ownProgress []stop.Progress
		for _, report := range progress {
			if report.ID == s.ID {
				ownProgress = append(ownProgress, report)
				status.add(report)
			}
		}
		status.Phase = stop.PhaseOf(s.Stop, ownProgress, members, p.Now())
		all = append(all, status)
	}
	return all, nil
}

func (s *StopStatus) add(progress stop.Progress) {
	for _, d := range progress.VMs {
		s.Slices += d.Slices
		s.InFlight += d.InFlight
	}
}

func (p *program) printStops(stops []StopStatus) error {
	if len(stops) == 0 {
		return p.printf("no stops are planned\n")
	}
	for _, s := range stops {
		_ = p.printf("stop %s: %s %s, from %s, by %s: %s; %d slices and %d requests left\n", s.ID, s.Scope.Kind, s.Scope.Name,
			formatTime(s.At), s.Who, s.Phase, s.Slices, s.InFlight)
	}
	return nil
}

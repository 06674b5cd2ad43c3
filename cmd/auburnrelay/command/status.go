package command

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/fleetview"
	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/publish"
	"github.com/auburnrelay/auburnrelay/core/cell"
)

// CellStatus is the state of a cell according to its record in the store.
type CellStatus struct {
	Cell         string `json:"cell"`
	Region       string `json:"region"`
	Epoch        uint64 `json:"epoch"`
	Controller   string `json:"controller"`
	Standby      string `json:"standby"`
	SheetVersion int64  `json:"sheet_version"`
	Nodes        int    `json:"nodes"`
	Slices       int    `json:"slices"`
	// Unowned is the number of slices without an owner.
	Unowned int `json:"unowned"`
}

// FleetStatus is the output of "status --json".
type FleetStatus struct {
	// SheetVersion is the version of the accepted sheet, or zero if there is none.
	SheetVersion int64                  `json:"sheet_version"`
	AppliedBy    string                 `json:"applied_by"`
	Cells        []CellStatus           `json:"cells"`
	Nodes        []fleetview.NodeStatus `json:"nodes"`
	Stops        []StopStatus           `json:"stops"`
}

func (p *program) statusCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the sheet in force, cells, nodes and planned stops",
		Long: `Show which version of the sheet is in force on each node, the cells with their
controllers and slices, the leases that nodes hold, and planned stops. Cells come from
the store; the state of each node comes from its admin address. A node that does not
answer is listed with the reason.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return p.withPublisher(c.Context(), func(ctx context.Context, publisher publish.Publisher) error {
				s, err := p.fleetStatus(ctx, publisher)
				if err != nil {
					return err
				}
				return p.printStatus(s, asJSON)
			})
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

func (p *program) fleetStatus(ctx context.Context, publisher publish.Publisher) (FleetStatus, error) {
	current, err := currentOrNone(ctx, publisher)
	if err != nil {
		return FleetStatus{}, err
	}
	records, err := fleetview.Cells(ctx, publisher.Store)
	if err != nil {
		return FleetStatus{}, err
	}
	stops, err := p.stopStatuses(ctx, publisher.Store, records)
	if err != nil {
		return FleetStatus{}, err
	}
	s := FleetStatus{SheetVersion: int64(current.Version), AppliedBy: current.Who, Stops: stops}
	for _, record := range records {
		s.Cells = append(s.Cells, cellStatus(record))
	}
	s.Nodes = fleetview.NodeStatuses(ctx, p.HTTP, records)
	return s, nil
}

func cellStatus(r *cell.Record) CellStatus {
	s := CellStatus{
		Cell: r.Cell, Region: r.Region, Epoch: r.Epoch, Controller: r.Controller.Name, Standby: r.Standby.Name,
		SheetVersion: r.SheetVersion, Nodes: len(r.Nodes),
	}
	for _, rng := range r.Ranges {
		s.Slices += len(rng.Slices)
		for _, assignment := range rng.Slices {
			if assignment.Owner == "" {
				s.Unowned++
			}
		}
	}
	return s
}

func (p *program) printStatus(s FleetStatus, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(p.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	if s.SheetVersion == 0 {
		_ = p.printf("no sheet is accepted yet\n")
	} else {
		_ = p.printf("accepted sheet: version %d, applied by %s; in force on %d of %d nodes\n", s.SheetVersion, s.AppliedBy, s.inForce(), len(s.Nodes))
	}
	w := tabwriter.NewWriter(p.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\ncell\tregion\tepoch\tcontroller\tstandby\tsheet\tnodes\tslices\tunowned")
	for _, c := range s.Cells {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\n", c.Cell, c.Region, c.Epoch, c.Controller, orDash(c.Standby),
			c.SheetVersion, c.Nodes, c.Slices, c.Unowned)
	}
	_, _ = fmt.Fprintln(w, "\nnode\tcell\tdomain\tsheet\trole\tleases\tmoving\theld\tstore\tstate")
	for _, n := range s.Nodes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%s\n", n.Node, n.Cell, orDash(n.FailureDomain), n.SheetVersion,
			roleOf(n), n.Leases, n.Moving, n.Held, storeHealth(n), orOK(n.Error))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return p.printStops(s.Stops)
}

// inForce returns the number of nodes on which the accepted sheet is in force.
func (s FleetStatus) inForce() int {
	count := 0
	for _, n := range s.Nodes {
		if n.Error == "" && n.SheetVersion == s.SheetVersion {
			count++
		}
	}
	return count
}

func roleOf(n fleetview.NodeStatus) string {
	switch {
	case n.HasAuthority:
		return "controller"
	case n.IsController:
		return "controller without authority"
	default:
		return "member"
	}
}

func storeHealth(n fleetview.NodeStatus) string {
	switch {
	case n.Error != "":
		return "-"
	case n.StoreHealthy:
		return "up"
	default:
		return "down"
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func orOK(text string) string {
	if text == "" {
		return "ok"
	}
	return text
}

// ErrNoStop reports that no planned stop has the given id.
var ErrNoStop = errors.New("no such planned stop")

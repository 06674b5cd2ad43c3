// Package scale measures the resources that the control plane of one cell uses at several
// cell sizes, with each node as a separate process and idle targets. It prints one line for
// each figure:
//
//	scale NAME nodes=N VALUE UNIT load=LOADAVERAGE
//
// At the end it prints a least-squares line through the values of each figure, and the
// processor time of one forwarded request on the entry and the owner node. Processor times
// and resident memory come from /proc, bytes from the nodes' metrics, calls from the store
// stand-in.
package scale

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
)

const (
	region = "near"
	// slicesPerNode is the number of slices per node that the system is designed for.
	slicesPerNode = 64
	// joinTime is the time for nodes and targets to register before the sheet is applied.
	joinTime = 4 * time.Second
	// stableTime is the time without changes after which a cell counts as settled.
	stableTime      = 3 * time.Second
	settleTimeout   = 60 * time.Second
	inForceTimeout  = 20 * time.Second
	reassignTimeout = 20 * time.Second
)

// Options selects what to measure.
type Options struct {
	// Bin is the folder of the built programs.
	Bin string
	// Sizes are the cell sizes to measure, in nodes.
	Sizes []int
	// Window is how long an idle cell is measured. A watch of the store waits 30 s, so that a
	// shorter window may not see it renewed.
	Window time.Duration
	// Forward measures the processor time of forwarded requests too.
	Forward bool
	// Seed seeds the load of forwarded requests.
	Seed uint64
	// Out receives the figures.
	Out io.Writer
}

// figure is one measured value.
type figure struct {
	name  string
	value float64
	unit  string
}

// report prints figures and keeps their values by cell size for the least-squares fits.
type report struct {
	out    io.Writer
	order  []string
	units  map[string]string
	sizes  map[string][]float64
	values map[string][]float64
}

func newReport(out io.Writer) *report {
	return &report{
		out: out, units: make(map[string]string),
		sizes: make(map[string][]float64), values: make(map[string][]float64),
	}
}

// add prints a figure and keeps its value for the fits.
func (r *report) add(nodes int, f figure) error {
	if _, known := r.units[f.name]; !known {
		r.order = append(r.order, f.name)
	}
	r.units[f.name] = f.unit
	r.sizes[f.name] = append(r.sizes[f.name], float64(nodes))
	r.values[f.name] = append(r.values[f.name], f.value)
	_, err := fmt.Fprintf(r.out, "scale %s nodes=%d %.4g %s load=%s\n", f.name, nodes, f.value, f.unit, loadAverage())
	return errors.Wrap(err, "print figure")
}

// printFits prints the least-squares line of each figure that has two or more values.
func (r *report) printFits() error {
	for _, name := range r.order {
		if len(r.sizes[name]) < 2 {
			continue
		}
		l := leastSquares(r.sizes[name], r.values[name])
		_, err := fmt.Fprintf(r.out, "scale fit %s = %.4g + %.4g * nodes, %s\n", name, l.fixed, l.slope, r.units[name])
		if err != nil {
			return errors.Wrap(err, "print fit")
		}
	}
	return nil
}

// Run measures each size in turn, then forwarded requests if selected, and prints the
// figures.
func Run(ctx context.Context, o Options) error {
	r := newReport(o.Out)
	for _, size := range o.Sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := measureCell(o, size, r); err != nil {
			return errors.Wrapf(err, "cell of %d nodes", size)
		}
	}
	if err := r.printFits(); err != nil {
		return err
	}
	if !o.Forward {
		return nil
	}
	return errors.Wrap(measureForward(ctx, o, r), "forwarded requests")
}

// testbed is a running fleet of one cell.
type testbed struct {
	fleet *fleet.Fleet
	dir   string
	size  int
	// window is how long an idle cell is measured.
	window time.Duration
}

func openTestbed(o Options, vms []fleet.VM) (*testbed, error) {
	dir, err := os.MkdirTemp("", "auburnrelay-scale-")
	if err != nil {
		return nil, errors.Wrap(err, "create measurement folder")
	}
	f, err := fleet.Start(fleet.Plan{Bin: o.Bin, Dir: dir, VMs: vms})
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	return &testbed{fleet: f, dir: dir, size: len(vms), window: o.Window}, nil
}

func (b *testbed) close() {
	b.fleet.KillAll()
	_ = os.RemoveAll(b.dir)
}

func cellVMs(size int) []fleet.VM {
	vms := make([]fleet.VM, size)
	for i := range vms {
		vms[i] = fleet.VM{
			Name: fmt.Sprintf("vm-%02d", i), Region: region,
			FailureDomain: fmt.Sprintf("domain-%d", i%2), Slots: 6, ChecksFences: true,
		}
	}
	return vms
}

// sheetText returns a sheet with slicesPerNode slices for each node. Different numbers of
// rows of shared services make sheets that differ.
func sheetText(size, sharedRows int) string {
	text := "service,kind,from,to,region,cell,targets,slices\n" +
		fmt.Sprintf("booking,keyed,,,%s,,,%d\n", region, size*slicesPerNode)
	for i := range sharedRows {
		text += fmt.Sprintf("manuals-%d,shared,,,%s,,,1\n", i, region)
	}
	return text
}

// apply applies a sheet by the operator's command and returns the time from its start until
// the version is in force on all nodes.
func (b *testbed) apply(text string, version int64) (time.Duration, error) {
	path := filepath.Join(b.dir, fmt.Sprintf("sheet-%d.csv", version))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return 0, errors.Wrap(err, "write sheet")
	}
	began := time.Now()
	if _, err := b.fleet.RunCommand("sheet", "apply", path); err != nil {
		return 0, err
	}
	if _, err := b.fleet.AwaitSheetVersion(version, inForceTimeout); err != nil {
		return 0, err
	}
	return time.Since(began), nil
}

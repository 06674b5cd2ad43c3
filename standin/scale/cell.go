package scale

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

// status holds the fields of a node's status that the measurement reads.
type status struct {
	Controller string `json:"controller"`
	Standby    string `json:"standby"`
	Epoch      uint64 `json:"epoch"`
	Owners     []struct {
		Owner  string `json:"owner"`
		Moving bool   `json:"moving"`
	} `json:"owners"`
}

// allPlaced reports whether the cell has a controller and a standby, and each slice has an
// owner other than the lost VM and is not moving.
func (s status) allPlaced(slices int, lost string) bool {
	if len(s.Owners) < slices || s.Controller == "" || s.Standby == "" {
		return false
	}
	for _, o := range s.Owners {
		if o.Owner == "" || o.Owner == lost || o.Moving {
			return false
		}
	}
	return true
}

// waitSettled waits until all slices are placed and epoch, controller and standby have not
// changed for stableTime.
func (b *testbed) waitSettled() (status, error) {
	var last status
	var readErr error
	changes := 0
	stableSince := time.Now()
	err := fleet.Await(settleTimeout, func() bool {
		var now status
		now, readErr = b.controllerStatus()
		if readErr != nil || !now.allPlaced(b.size*slicesPerNode, "") || now.changed(last) {
			last, stableSince = now, time.Now()
			changes++
		}
		return time.Since(stableSince) > stableTime
	})
	return last, errors.Wrapf(err, "cell did not settle: controller %q, standby %q, epoch %d, %d slices, %d changes, last read %v",
		last.Controller, last.Standby, last.Epoch, len(last.Owners), changes, readErr)
}

// changed reports whether epoch, controller or standby differ from those in previous.
func (s status) changed(previous status) bool {
	return s.Epoch != previous.Epoch || s.Controller != previous.Controller || s.Standby != previous.Standby
}

// controllerStatus returns the status of the controller, since other nodes do not know the
// standby. If there is no controller it returns the status of the first node.
func (b *testbed) controllerStatus() (status, error) {
	s, err := b.status(b.fleet.VMs[0].Name)
	if err != nil || s.Controller == "" {
		return s, err
	}
	return b.status(s.Controller)
}

func (b *testbed) status(name string) (status, error) {
	var s status
	err := getJSON(b.fleet.AdminURL(name)+"/status", &s)
	return s, err
}

// measureCell measures a cell of one size: at rest, on a change of the sheet and on the loss
// of a VM.
func measureCell(o Options, size int, r *report) error {
	b, err := openTestbed(o, cellVMs(size))
	if err != nil {
		return err
	}
	defer b.close()
	time.Sleep(joinTime)
	if _, err := b.apply(sheetText(size, 1), 1); err != nil {
		return err
	}
	s, err := b.waitSettled()
	if err != nil {
		return err
	}
	for _, step := range []func(status) ([]figure, error){b.measureIdle, b.measureSheetChange, b.measureVMLoss} {
		figures, err := step(s)
		if err != nil {
			return err
		}
		for _, f := range figures {
			if err := r.add(size, f); err != nil {
				return err
			}
		}
	}
	return nil
}

// sample is one reading of all sources: the processor time of each node, the metrics of one
// node and the call counts of the store.
type sample struct {
	at      time.Time
	cpu     map[string]time.Duration
	metrics nodeMetrics
	calls   store.StatsMessage
}

// sample reads all sources; the metrics are those of metricsNode.
func (b *testbed) sample(metricsNode string) (sample, error) {
	s := sample{at: time.Now(), cpu: make(map[string]time.Duration)}
	var err error
	for name, p := range b.fleet.Nodes {
		if s.cpu[name], err = cpuTime(p.PID()); err != nil {
			return s, err
		}
	}
	if s.metrics, err = readMetrics(b.fleet.AdminURL(metricsNode)); err != nil {
		return s, err
	}
	s.calls, err = storeCalls(b.fleet.StoreURL())
	return s, err
}

// measureIdle measures the idle cell for the window.
func (b *testbed) measureIdle(s status) ([]figure, error) {
	before, err := b.sample(s.Controller)
	if err != nil {
		return nil, err
	}
	time.Sleep(b.window)
	after, err := b.sample(s.Controller)
	if err != nil {
		return nil, err
	}
	memory, err := b.memory(s)
	if err != nil {
		return nil, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	figures := b.cpuShares(s, before, after)
	figures = append(figures,
		figure{"controller-cell-bytes", (after.metrics.cell - before.metrics.cell) / seconds, "B/s"},
		figure{"controller-account-bytes", (after.metrics.account - before.metrics.account) / seconds, "B/s"},
		figure{"store-writes-at-rest", float64(after.calls.Puts-before.calls.Puts) / seconds, "1/s"},
		figure{"store-reads-at-rest", float64(reads(after.calls)-reads(before.calls)) / seconds, "1/s"},
	)
	return append(figures, memory...), nil
}

// reads counts the read calls.
func reads(s store.StatsMessage) int64 { return s.Gets + s.Lists + s.Polls }

// cpuShares returns the processor use, in percent of a core, of the controller and the mean
// of plain nodes, which are neither controller nor standby.
func (b *testbed) cpuShares(s status, before, after sample) []figure {
	seconds := after.at.Sub(before.at).Seconds()
	var plain, controller float64
	var count int
	for name, used := range after.cpu {
		percent := 100 * (used - before.cpu[name]).Seconds() / seconds
		switch name {
		case s.Controller:
			controller = percent
		case s.Standby:
		default:
			plain += percent
			count++
		}
	}
	return []figure{
		{"controller-cpu", controller, "%"},
		{"plain-cpu", plain / float64(count), "%"},
	}
}

// memory returns the resident memory of the controller, the mean of plain nodes and the
// controller's heap.
func (b *testbed) memory(s status) ([]figure, error) {
	var plain, controller float64
	for name, p := range b.fleet.Nodes {
		resident, err := residentMemory(p.PID())
		if err != nil {
			return nil, err
		}
		switch name {
		case s.Controller:
			controller = resident
		case s.Standby:
		default:
			plain += resident / float64(b.size-2)
		}
	}
	m, err := readMetrics(b.fleet.AdminURL(s.Controller))
	if err != nil {
		return nil, err
	}
	return []figure{
		{"controller-resident", controller / 1e6, "MB"},
		{"plain-resident", plain / 1e6, "MB"},
		{"controller-heap", m.heap / 1e6, "MB"},
	}, nil
}

// measureSheetChange applies a second sheet and measures the time until it is in force.
func (b *testbed) measureSheetChange(status) ([]figure, error) {
	took, err := b.apply(sheetText(b.size, 2), 2)
	return []figure{{"sheet-in-force", took.Seconds(), "s"}}, err
}

// measureVMLoss kills a plain VM. It measures the time until its slices have other owners,
// and the calls to the store in that time.
func (b *testbed) measureVMLoss(s status) ([]figure, error) {
	lost, observer := b.chooseVMToKill(s)
	before, err := storeCalls(b.fleet.StoreURL())
	if err != nil {
		return nil, err
	}
	began := time.Now()
	b.fleet.KillVM(lost)
	err = fleet.Await(reassignTimeout, func() bool {
		now, err := b.status(observer)
		return err == nil && now.allPlaced(b.size*slicesPerNode, lost)
	})
	if err != nil {
		return nil, errors.Wrapf(err, "slices of %s not reassigned", lost)
	}
	took := time.Since(began)
	after, err := storeCalls(b.fleet.StoreURL())
	if err != nil {
		return nil, err
	}
	return []figure{
		{"loss-reassigned", took.Seconds(), "s"},
		{"loss-store-writes", float64(after.Puts - before.Puts), "calls"},
		{"loss-store-reads", float64(reads(after) - reads(before)), "calls"},
	}, nil
}

// chooseVMToKill returns a VM to kill, which is neither controller nor standby, and the
// controller's VM, whose status shows the recovery.
func (b *testbed) chooseVMToKill(s status) (lost, observer string) {
	for _, vm := range b.fleet.VMs {
		if vm.Name != s.Controller && vm.Name != s.Standby {
			lost = vm.Name
		}
	}
	return lost, s.Controller
}

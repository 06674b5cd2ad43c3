package measure

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/load"
)

const (
	// targetServiceTime is the service time of the target.
	targetServiceTime = time.Millisecond
	// latencyRate is the rate, in requests per second, at which latencies are compared.
	latencyRate = 300
	// throughputRate is the rate, in requests per second, at which the nodes' processor time is
	// measured.
	throughputRate = 2000
	targetSlots    = 64
	// ticksPerSecond is the unit of processor times in /proc, fixed by Linux.
	ticksPerSecond = 100
	// userTimeField is the index of the user time in /proc/PID/stat, counted after the
	// program's name; the system time follows.
	userTimeField = 11

	ownerVM = "owner"
	entryVM = "entry"
)

// requestPath is a path that requests take to the target.
type requestPath struct {
	name string
	// plan modifies the plan so that requests take this path.
	plan func(o overheadTestbed, plan *load.Plan)
}

func requestPaths() []requestPath {
	return []requestPath{
		{"direct", func(o overheadTestbed, p *load.Plan) {
			p.Entries, p.PathPrefix = []string{o.fleet.TargetURL(ownerVM)}, "/work/"
		}},
		{"one-hop", func(o overheadTestbed, p *load.Plan) { p.Entries = []string{o.fleet.EntryURL(ownerVM)} }},
		{"two-hops", func(o overheadTestbed, p *load.Plan) { p.Entries = []string{o.fleet.EntryURL(entryVM)} }},
	}
}

// overhead compares the latency through one and two nodes with that of calling the target
// directly, and measures the requests answered per second of processor time that the nodes
// use. The fleet has one target, so that its node owns all keys, and a second node without a
// target.
func overhead(ctx context.Context, o Options) error {
	b, err := openOverheadTestbed(ctx, o)
	if err != nil {
		return err
	}
	defer b.close()
	latency := make(map[string]load.Latency)
	for _, path := range requestPaths() {
		if latency[path.name], err = b.latency(path); err != nil {
			return errors.Wrap(err, path.name)
		}
	}
	if err := b.printAdded(latency); err != nil {
		return err
	}
	for _, path := range requestPaths()[1:] {
		if err := b.throughput(path); err != nil {
			return errors.Wrap(err, path.name)
		}
	}
	return nil
}

// printAdded prints the latency that each path through nodes adds to the direct one.
func (b overheadTestbed) printAdded(latency map[string]load.Latency) error {
	direct := latency["direct"]
	for _, path := range requestPaths()[1:] {
		through := latency[path.name]
		name := "overhead." + path.name
		if err := b.options.print(addedLatency(name+".added-p50", through.P50, direct.P50)); err != nil {
			return err
		}
		if err := b.options.print(addedLatency(name+".added-p99", through.P99, direct.P99)); err != nil {
			return err
		}
	}
	return nil
}

func addedLatency(name string, through, direct float64) figure {
	return figure{
		name: name, value: through - direct, unit: "ms", baseline: format(direct), target: "none",
		note: fmt.Sprintf("(through %s, direct %s)", format(through), format(direct)),
	}
}

// overheadTestbed is a running fleet of one target and two nodes.
type overheadTestbed struct {
	testbed
}

func openOverheadTestbed(ctx context.Context, o Options) (overheadTestbed, error) {
	dir, err := os.MkdirTemp("", "auburnrelay-measure-")
	if err != nil {
		return overheadTestbed{}, errors.Wrap(err, "create measurement folder")
	}
	args := []string{"--work", "default=" + targetServiceTime.String(), "--queue", "1000"}
	p := Profile{Deadline: time.Second, Near: region{name: "near"}, Far: region{name: "far"}}
	f, err := fleet.Start(fleet.Plan{
		Bin: o.Bin, Dir: dir,
		Settings: "[target]\nmax_connections = " + strconv.Itoa(targetSlots) + "\n",
		VMs: []fleet.VM{
			{Name: ownerVM, Region: p.Near.name, FailureDomain: "a", Slots: targetSlots, TargetArgs: args},
			{Name: entryVM, Region: p.Near.name, FailureDomain: "b", NoTarget: true},
		},
	})
	if err != nil {
		return overheadTestbed{}, err
	}
	b := overheadTestbed{testbed{options: o, profile: p, fleet: f, context: ctx}}
	if err := b.prepare(); err != nil {
		b.close()
		return overheadTestbed{}, err
	}
	return b, nil
}

func (b overheadTestbed) prepare() error {
	sheet := "service,kind,from,to,region,cell,targets,slices\n" + keyedService + ",keyed,,,near,,,64\n"
	if err := b.applySheet(sheet); err != nil {
		return err
	}
	return fleet.Await(readyTimeout, func() bool {
		// The path with two hops passes through both nodes.
		result, err := b.load(b.planFor(requestPaths()[2], time.Second, readyRate))
		tally := result.Phases[0].Kinds[keyedService]
		return err == nil && tally.Outcomes[load.Answered] == tally.Sent
	})
}

func (b overheadTestbed) planFor(path requestPath, d time.Duration, rate float64) load.Plan {
	plan := b.plan(b.phase(path.name, d, rate), b.shortWork(keyedService, 1))
	path.plan(b, &plan)
	return plan
}

func (b overheadTestbed) latency(path requestPath) (load.Latency, error) {
	plan := b.planFor(path, 2*time.Second, latencyRate)
	plan.Phases = append(plan.Phases, b.phase("measured", 10*time.Second, latencyRate))
	result, err := b.load(plan)
	if err != nil {
		return load.Latency{}, err
	}
	return result.Phases[1].Kinds[keyedService].Latency, nil
}

// throughput measures the requests answered per second of processor time on the path and
// prints the figure.
func (b overheadTestbed) throughput(path requestPath) error {
	before, err := b.processorTime()
	if err != nil {
		return err
	}
	result, err := b.load(b.planFor(path, 10*time.Second, throughputRate))
	if err != nil {
		return err
	}
	after, err := b.processorTime()
	if err != nil {
		return err
	}
	tally := result.Phases[0].Kinds[keyedService]
	used := (after - before).Seconds()
	return b.options.print(figure{
		name: "overhead." + path.name + ".requests-per-core-second", value: float64(tally.Outcomes[load.Answered]) / used,
		unit: "requests", target: "none",
		note: fmt.Sprintf("(%d of %d answered, %.2f s of a core in all nodes, late starts %d)",
			tally.Outcomes[load.Answered], tally.Sent, used, result.LateStarts),
	})
}

// processorTime returns the processor time that the nodes have used so far.
func (b overheadTestbed) processorTime() (time.Duration, error) {
	var sum time.Duration
	for _, node := range b.fleet.Nodes {
		used, err := processorTimeOf(node.PID())
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

// processorTimeOf returns the user and system time that a process of the fleet has used so
// far.
func processorTimeOf(pid int) (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var ticks int64
	for _, field := range fields[userTimeField : userTimeField+2] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "parse processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

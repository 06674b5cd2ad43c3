// Package measure runs the whole system as separate processes under load and prints the
// measured figures, one per line:
//
//	measure NAME VALUE UNIT baseline=VALUE target=VALUE
//
// The baseline is the same fleet with first-come, first-served admission, without shedding
// and pacing; for the imbalance it is a plain hash of the keys over the targets, and for the
// added latency of the overhead the latency of calling the target directly.
package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/load"
)

// ErrNoScenario reports options that select no scenario.
var ErrNoScenario = errors.New("no such profile or scenario")

// ErrRefused reports a request to a stand-in's admin interface that was refused.
var ErrRefused = errors.New("stand-in refused the request")

const (
	inForceTimeout = 20 * time.Second
	readyTimeout   = 30 * time.Second
	// readyRate is the rate, in requests per second, of the load that tests for readiness.
	readyRate = 20
	// joinTime is the time for nodes and targets to register before the sheet is applied.
	joinTime = 4 * time.Second
	// settleTime is the time for placement to settle after the start of a fleet.
	settleTime = 10 * time.Second
)

// Options selects what to measure.
type Options struct {
	// Bin is the folder of the built programs.
	Bin string
	// Out receives the figures.
	Out io.Writer
	// Profile and Scenario each select one by name; empty selects all.
	Profile  string
	Scenario string
	// Short divides all durations by five. The figures are then meaningless; it only checks
	// that the measurements work.
	Short bool
	// NoBaseline skips the baseline runs.
	NoBaseline bool
	// Keep keeps the folder with settings and logs.
	Keep bool
	// Seed seeds the load.
	Seed uint64
}

// scenario measures some figures on a running fleet.
type scenario struct {
	name string
	run  func(b *testbed) ([]figure, error)
	// noBaseline is set if the scenario computes its baseline itself.
	noBaseline bool
}

func scenarios() []scenario {
	return []scenario{
		{name: "crest", run: loadSpike},
		{name: "head-of-line", run: headOfLine},
		{name: "slow-target", run: slowTarget},
		{name: "region-link", run: regionLink},
		{name: "imbalance", run: imbalance, noBaseline: true},
	}
}

// Run runs the selected scenarios and prints their figures.
func Run(ctx context.Context, o Options) error {
	ran := 0
	if o.selects("", "overhead") {
		ran++
		if err := overhead(ctx, o); err != nil {
			return err
		}
	}
	for _, p := range Profiles() {
		n, err := runProfile(ctx, o, p)
		if err != nil {
			return errors.Wrapf(err, "profile %s", p.Name)
		}
		ran += n
	}
	if ran == 0 {
		return ErrNoScenario
	}
	return nil
}

func (o Options) selects(profile, scenario string) bool {
	return (o.Profile == "" || o.Profile == profile) && (o.Scenario == "" || o.Scenario == scenario)
}

// runProfile runs each selected scenario on a new fleet, once with the load policies and
// once as the baseline, and prints the figures. It returns the number of scenarios run.
func runProfile(ctx context.Context, o Options, p Profile) (int, error) {
	ran := 0
	for _, s := range scenarios() {
		if !o.selects(p.Name, s.name) {
			continue
		}
		ran++
		figures, err := runScenario(ctx, o, p, s, "")
		if err != nil {
			return ran, errors.Wrap(err, s.name)
		}
		if !o.NoBaseline && !s.noBaseline {
			baseline, err := runScenario(ctx, o, p, s, baselineSettings)
			if err != nil {
				return ran, errors.Wrapf(err, "baseline of %s", s.name)
			}
			addBaseline(figures, baseline)
		}
		for _, f := range figures {
			f.name = p.Name + "." + f.name
			if err := o.print(f); err != nil {
				return ran, err
			}
		}
	}
	return ran, nil
}

func (o Options) print(f figure) error {
	_, err := fmt.Fprintf(o.Out, "measure %s\n", f)
	return errors.Wrap(err, "print figure")
}

const baselineSettings = "[load]\ndiscipline = \"first-come\"\n"

func runScenario(ctx context.Context, o Options, p Profile, s scenario, settings string) ([]figure, error) {
	b, err := openTestbed(ctx, o, p, settings)
	if err != nil {
		return nil, err
	}
	defer b.close()
	return s.run(b)
}

// testbed is a running fleet of a profile, with the options of the measurement.
type testbed struct {
	options Options
	profile Profile
	fleet   *fleet.Fleet
	context context.Context
}

// openTestbed starts the profile's fleet and waits until it answers requests.
func openTestbed(ctx context.Context, o Options, p Profile, settings string) (*testbed, error) {
	dir, err := os.MkdirTemp("", "auburnrelay-measure-")
	if err != nil {
		return nil, errors.Wrap(err, "create measurement folder")
	}
	f, err := fleet.Start(fleet.Plan{Bin: o.Bin, Dir: dir, VMs: p.vms(), Settings: settings, Network: p.network()})
	if err != nil {
		return nil, err
	}
	b := &testbed{options: o, profile: p, fleet: f, context: ctx}
	if err := b.prepare(); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *testbed) close() {
	b.fleet.KillAll()
	if !b.options.Keep {
		_ = os.RemoveAll(b.fleet.Dir)
	}
}

func (b *testbed) prepare() error {
	if err := b.applySheet(b.profile.sheet()); err != nil {
		return err
	}
	time.Sleep(b.scaled(settleTime))
	var unanswered map[string]int64
	err := fleet.Await(readyTimeout, func() bool {
		unanswered = b.countUnanswered()
		return len(unanswered) == 0
	})
	return errors.Wrapf(err, "fleet not ready: requests not answered %v", unanswered)
}

// applySheet waits for the nodes to register, applies the sheet and waits until it is in
// force.
func (b *testbed) applySheet(text string) error {
	time.Sleep(joinTime)
	path := filepath.Join(b.fleet.Dir, "sheet.csv")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write sheet")
	}
	if _, err := b.fleet.RunCommand("sheet", "apply", path); err != nil {
		return err
	}
	_, err := b.fleet.AwaitSheetVersion(1, inForceTimeout)
	return err
}

// countUnanswered sends a few requests of each kind and counts the reasons of those that
// were not answered.
func (b *testbed) countUnanswered() map[string]int64 {
	result, err := b.load(b.plan(load.Phase{Name: "ready", Duration: load.Duration(time.Second), Rate: readyRate},
		b.shortWork(keyedService, 1), b.shortWork(sharedService, 1)))
	if err != nil {
		return map[string]int64{err.Error(): 1}
	}
	return result.Phases[0].Reasons
}

// scaled divides the duration by five if Options.Short is set.
func (b *testbed) scaled(d time.Duration) time.Duration {
	if b.options.Short {
		return d / 5
	}
	return d
}

func (b *testbed) phase(name string, d time.Duration, rate float64) load.Phase {
	return load.Phase{Name: name, Duration: load.Duration(b.scaled(d)), Rate: rate}
}

// shortWork returns the kind of short work of a service, with its share of the requests: a
// POST for the keyed service and a GET for the shared one.
func (b *testbed) shortWork(service string, share float64) load.Kind {
	method := http.MethodPost
	if service == sharedService {
		method = http.MethodGet
	}
	return load.Kind{
		Name: service, Service: service, Method: method, Share: share, Deadline: load.Duration(b.profile.Deadline),
	}
}

// plan returns a plan of one phase whose requests enter at all nodes.
func (b *testbed) plan(phase load.Phase, kinds ...load.Kind) load.Plan {
	return load.Plan{
		Entries:     b.entryURLs(nil),
		Seed:        b.options.Seed,
		Keys:        load.KeyPlan{Prefixes: keyPrefixes},
		Kinds:       kinds,
		Phases:      []load.Phase{phase},
		CallerDelay: load.Duration(b.profile.CallerDelay),
	}
}

// entryURLs returns the entry URLs of the named VMs, or of all VMs if names is nil.
func (b *testbed) entryURLs(names []string) []string {
	var urls []string
	for _, vm := range b.fleet.VMs {
		if names == nil || slices.Contains(names, vm.Name) {
			urls = append(urls, b.fleet.EntryURL(vm.Name))
		}
	}
	return urls
}

func (b *testbed) load(plan load.Plan) (load.Result, error) {
	result, err := load.Run(b.context, plan)
	if err == nil && b.context.Err() != nil {
		err = b.context.Err()
	}
	return result, err
}

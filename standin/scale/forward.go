package scale

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/load"
)

const (
	entryVM = "entry"
	ownerVM = "owner"
	// forwardRate is the load in requests per second and forwardTime the measured time, after
	// a warm-up of warmUpTime.
	forwardRate  = 2000
	forwardTime  = 10 * time.Second
	warmUpTime   = 3 * time.Second
	forwardSlots = 64
	// forwardDeadline is the deadline of a request.
	forwardDeadline = time.Second
)

// ErrNotAnswered reports that too many forwarded requests were not answered.
var ErrNotAnswered = errors.New("too many requests were not answered")

// measureForward sends a fixed load through an entry node, whose VM has no target, to the
// only owner. It prints the processor time of each of the two nodes per answered request.
func measureForward(ctx context.Context, o Options, r *report) error {
	b, err := openTestbed(o, []fleet.VM{
		{
			Name: ownerVM, Region: region, FailureDomain: "a", Slots: forwardSlots,
			TargetArgs: []string{"--work", "default=1ms", "--queue", "1000"},
		},
		{Name: entryVM, Region: region, FailureDomain: "b", NoTarget: true},
	})
	if err != nil {
		return err
	}
	defer b.close()
	time.Sleep(joinTime)
	if _, err := b.apply(sheetText(1, 0), 1); err != nil {
		return err
	}
	if _, err := b.sendLoad(ctx, o, warmUpTime); err != nil {
		return err
	}
	return b.measureForwarded(ctx, o, r)
}

// measureForwarded measures the load after the warm-up. It fails if less than 99 % of the
// requests are answered.
func (b *testbed) measureForwarded(ctx context.Context, o Options, r *report) error {
	before, err := b.sample(entryVM)
	if err != nil {
		return err
	}
	tally, err := b.sendLoad(ctx, o, forwardTime)
	if err != nil {
		return err
	}
	after, err := b.sample(entryVM)
	if err != nil {
		return err
	}
	answered := float64(tally.Outcomes[load.Answered])
	if answered < float64(tally.Sent)*99/100 {
		return errors.Wrapf(ErrNotAnswered, "outcomes %v of %d requests", tally.Outcomes, tally.Sent)
	}
	for _, name := range []string{entryVM, ownerVM} {
		micros := float64((after.cpu[name] - before.cpu[name]).Microseconds())
		if err := r.add(b.size, figure{name + "-cpu", micros / answered, "us/request"}); err != nil {
			return err
		}
	}
	return r.add(b.size, figure{"forward-answered", answered, "requests"})
}

// sendLoad sends load to the entry node for a time and returns its tally.
func (b *testbed) sendLoad(ctx context.Context, o Options, d time.Duration) (load.Tally, error) {
	const service = "booking"
	result, err := load.Run(ctx, load.Plan{
		Entries: []string{b.fleet.EntryURL(entryVM)},
		Seed:    o.Seed,
		Kinds: []load.Kind{{
			Name: service, Service: service, Method: http.MethodPost, Share: 1, Deadline: load.Duration(forwardDeadline),
		}},
		Phases: []load.Phase{{Name: "forwarded", Duration: load.Duration(d), Rate: forwardRate}},
	})
	if err != nil {
		return load.Tally{}, err
	}
	return result.Phases[0].Kinds[service], ctx.Err()
}

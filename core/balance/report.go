package balance

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/slotqueue"
)

const (
	// MaxReportClasses bounds the classes of a report. A service has a few routes; those used last are reported.
	MaxReportClasses = 4
	// maxReportText bounds the text of a report in bytes.
	maxReportText = 512
	// maxReportTime and maxReportCount bound the figures of a report. Larger values are clamped when a report is encoded.
	maxReportTime  = time.Minute
	maxReportCount = 1 << 16
)

// ErrReport reports a load report that cannot be decoded.
var ErrReport = errors.New("malformed load report")

// Report is what the node beside a target says about the target's load.
type Report struct {
	Process exchange.TargetProcess
	// Running and Waiting are the numbers of requests that hold slots and that wait for one.
	Running, Waiting, Slots int
	// FailureShare is the share of the last answers that were refusals or failures while slots were free, from 0 to 1.
	FailureShare float64
	// Limited is set if the target has a limit on requests per second, for example while it is cold, Leaving if it is
	// about to end.
	Limited, Leaving bool
	// Unhealthy is set if the target gets trial requests only, because it answers none.
	Unhealthy bool
	// Stated is set if the target states its load in its answers, so that its node knows how long work takes at the
	// moment.
	Stated bool
	// Trial is set if an unhealthy target may be sent a trial request now.
	Trial bool
	// Classes holds what is known of the kinds of work, the one asked about first.
	Classes []ClassReport
}

// ClassReport is the load as requests of one kind see it.
type ClassReport struct {
	Objective time.Duration
	Priority  int
	// Wait is the expected time until a request of the kind starts, Work how long it is expected to hold a slot now.
	Wait, Work time.Duration
}

// Of returns what the report says about a kind of work, and whether it says anything. Without a report on the kind itself,
// the one on a kind of the next priority stands for it.
func (r *Report) Of(c slotqueue.Class) (ClassReport, bool) {
	best, distance := -1, 0
	for i, known := range r.Classes {
		d := 2 * max(known.Priority-c.Priority, c.Priority-known.Priority)
		if known.Objective != c.Objective {
			d++
		}
		if best < 0 || d < distance {
			best, distance = i, d
		}
	}
	if best < 0 {
		return ClassReport{}, false
	}
	return r.Classes[best], true
}

// String encodes the report for another node: fields separated by ";", of which those after the seventh are classes.
func (r *Report) String() string {
	b := make([]byte, 0, 192)
	field := func(v int64) { b = append(strconv.AppendInt(b, v, 10), ';') }
	b = append(append(b, r.Process.ID...), ';')
	field(r.Process.Born)
	field(int64(min(r.Running, maxReportCount)))
	field(int64(min(r.Waiting, maxReportCount)))
	field(int64(min(max(r.Slots, 1), maxReportCount)))
	field(int64(math.Round(r.FailureShare * 100)))
	flags := int64(0)
	for i, set := range []bool{r.Limited, r.Leaving, r.Trial, r.Unhealthy, r.Stated} {
		if set {
			flags |= 1 << i
		}
	}
	b = strconv.AppendInt(b, flags, 10)
	for _, c := range r.Classes[:min(len(r.Classes), MaxReportClasses)] {
		b = append(b, ';')
		for i, v := range []int64{reportMicros(c.Objective), int64(c.Priority), reportMicros(c.Wait), reportMicros(c.Work)} {
			if i > 0 {
				b = append(b, ',')
			}
			b = strconv.AppendInt(b, v, 10)
		}
	}
	return string(b)
}

// reportMicros returns a time within the bounds of a report, in microseconds.
func reportMicros(d time.Duration) int64 { return min(max(d, 0), maxReportTime).Microseconds() }

// reportFields is the number of fields before the classes.
const reportFields = 7

// ParseReport decodes a report; it fails with ErrReport. A report with a figure out of range is rejected as a
// whole, because the rest cannot be trusted.
func ParseReport(text string) (*Report, error) {
	if len(text) > maxReportText {
		return nil, errors.Wrapf(ErrReport, "%d bytes", len(text))
	}
	fields := strings.Split(text, ";")
	if len(fields) < reportFields || len(fields) > reportFields+MaxReportClasses || fields[0] == "" {
		return nil, errors.Wrapf(ErrReport, "%d fields", len(fields))
	}
	p := reportParser{}
	r := &Report{
		Process: exchange.TargetProcess{ID: fields[0], Born: p.number(fields[1], math.MinInt64, math.MaxInt64)},
		Running: int(p.number(fields[2], 0, maxReportCount)), Waiting: int(p.number(fields[3], 0, maxReportCount)),
		Slots:        int(p.number(fields[4], 1, maxReportCount)),
		FailureShare: float64(p.number(fields[5], 0, 100)) / 100,
	}
	flags := p.number(fields[6], 0, 31)
	r.Limited, r.Leaving, r.Trial = flags&1 != 0, flags&2 != 0, flags&4 != 0
	r.Unhealthy, r.Stated = flags&8 != 0, flags&16 != 0
	for _, field := range fields[reportFields:] {
		values := strings.Split(field, ",")
		if len(values) != 4 {
			return nil, errors.Wrap(ErrReport, "class")
		}
		micros := func(text string) time.Duration {
			return time.Duration(p.number(text, 0, maxReportTime.Microseconds())) * time.Microsecond
		}
		r.Classes = append(r.Classes, ClassReport{
			Objective: micros(values[0]), Priority: int(p.number(values[1], math.MinInt16, math.MaxInt16)),
			Wait: micros(values[2]), Work: micros(values[3]),
		})
	}
	if p.err != nil {
		return nil, errors.Mark(p.err, ErrReport)
	}
	return r, nil
}

// reportParser keeps the first error in the numbers of a report.
type reportParser struct{ err error }

func (p *reportParser) number(text string, low, high int64) int64 {
	v, err := strconv.ParseInt(text, 10, 64)
	if err == nil && (v < low || v > high) {
		err = errors.Newf("%d is not between %d and %d", v, low, high)
	}
	if err != nil && p.err == nil {
		p.err = err
	}
	return v
}

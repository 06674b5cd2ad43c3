package account

import "time"

const (
	// maxUnbooked is the number of unbooked reports from which no new one is created until the
	// month ends. The counts then accumulate in the next report.
	maxUnbooked = 360
	// maxSent is the maximum number of reports in one message.
	maxSent = 16
)

// Reporter numbers the reports of one process and keeps them until they are booked.
type Reporter struct {
	process Process
	// periodStart is the start of the current period.
	periodStart time.Time
	// nextNumber is the number of the next report.
	nextNumber uint64
	// unbooked holds the reports that are not booked yet, in order.
	unbooked []Report
	accepted uint64
	booked   uint64
	final    bool
}

// NewReporter returns the reporter of a process that starts at now.
func NewReporter(process Process, now time.Time) *Reporter {
	return &Reporter{process: process, periodStart: now, nextNumber: 1}
}

// PeriodEnd returns the time at which the current period should end: after the interval or at the
// end of the month, whichever is earlier.
func (r *Reporter) PeriodEnd(interval time.Duration) time.Time {
	at := r.periodStart.Add(interval)
	month := r.periodStart.UTC()
	end := time.Date(month.Year(), month.Month()+1, 1, 0, 0, 0, 0, time.UTC)
	if end.Before(at) {
		return end
	}
	return at
}

// MayEndPeriod reports whether EndPeriod may create a report now.
func (r *Reporter) MayEndPeriod(now time.Time) bool {
	return !r.final && (len(r.unbooked) < maxUnbooked || MonthOf(now) != MonthOf(r.periodStart))
}

// EndPeriod ends the current period and creates a report of its counts. It creates none if there
// are no counts, unless final is set.
func (r *Reporter) EndPeriod(counts []Count, now time.Time, final bool) {
	if len(counts) > 0 || final {
		r.unbooked = append(r.unbooked, Report{
			Process: r.process, Number: r.nextNumber, Since: r.periodStart, Until: now, Counts: counts, Final: final,
		})
		r.nextNumber++
	}
	r.periodStart = now
	r.final = r.final || final
}

// Batch returns the next message for the collector.
func (r *Reporter) Batch() Batch {
	b := Batch{Process: r.process, Oldest: r.nextNumber}
	if len(r.unbooked) > 0 {
		b.Oldest = r.unbooked[0].Number
	}
	for _, report := range r.unbooked {
		if report.Number > r.accepted && len(b.Reports) < maxSent {
			b.Reports = append(b.Reports, report)
		}
	}
	return b
}

// Acknowledge processes the collector's acknowledgement and drops the booked reports.
func (r *Reporter) Acknowledge(a Ack) {
	r.booked = max(r.booked, a.Booked)
	r.accepted = max(a.Accepted, r.booked)
	for len(r.unbooked) > 0 && r.unbooked[0].Number <= r.booked {
		r.unbooked = r.unbooked[1:]
	}
}

// AllBooked reports whether all reports are booked.
func (r *Reporter) AllBooked() bool { return len(r.unbooked) == 0 }

// HasUnsent reports whether there are reports that the collector has not accepted.
func (r *Reporter) HasUnsent() bool { return r.nextNumber-1 > r.accepted }

// Unbooked returns the number of reports that are not booked yet.
func (r *Reporter) Unbooked() int { return len(r.unbooked) }

package account

import "time"

const (
	// maxKept is the number of unbooked reports from which no new one is created until the
	// month ends. The counts then accumulate in the next report.
	maxKept = 360
	// maxSent is the maximum number of reports in one message.
	maxSent = 16
)

// Reporter numbers the reports of one process and keeps them until they are booked.
type Reporter struct {
	process Process
	// since is the start of the current period.
	since time.Time
	// next is the number of the next report.
	next uint64
	// kept holds the reports that are not booked yet, in order.
	kept     []Report
	accepted uint64
	booked   uint64
	final    bool
}

// NewReporter returns the reporter of a process that starts at now.
func NewReporter(process Process, now time.Time) *Reporter {
	return &Reporter{process: process, since: now, next: 1}
}

// SealAt returns the time at which the current period should be sealed: after the interval or
// at the end of the month, whichever is earlier.
func (r *Reporter) SealAt(interval time.Duration) time.Time {
	at := r.since.Add(interval)
	month := r.since.UTC()
	end := time.Date(month.Year(), month.Month()+1, 1, 0, 0, 0, 0, time.UTC)
	if end.Before(at) {
		return end
	}
	return at
}

// MaySeal reports whether Seal may create a report now.
func (r *Reporter) MaySeal(now time.Time) bool {
	return !r.final && (len(r.kept) < maxKept || MonthOf(now) != MonthOf(r.since))
}

// Seal ends the current period and creates a report of its counts. It creates none if there are
// no counts, unless final is set.
func (r *Reporter) Seal(counts []Count, now time.Time, final bool) {
	if len(counts) > 0 || final {
		r.kept = append(r.kept, Report{
			Process: r.process, Number: r.next, Since: r.since, Until: now, Counts: counts, Final: final,
		})
		r.next++
	}
	r.since = now
	r.final = r.final || final
}

// Batch returns the next message for the collector.
func (r *Reporter) Batch() Batch {
	b := Batch{Process: r.process, Oldest: r.next}
	if len(r.kept) > 0 {
		b.Oldest = r.kept[0].Number
	}
	for _, report := range r.kept {
		if report.Number > r.accepted && len(b.Reports) < maxSent {
			b.Reports = append(b.Reports, report)
		}
	}
	return b
}

// Answer processes the collector's acknowledgement and drops the booked reports.
func (r *Reporter) Answer(a Ack) {
	r.booked = max(r.booked, a.Booked)
	r.accepted = max(a.Accepted, r.booked)
	for len(r.kept) > 0 && r.kept[0].Number <= r.booked {
		r.kept = r.kept[1:]
	}
}

// Settled reports whether all reports are booked.
func (r *Reporter) Settled() bool { return len(r.kept) == 0 }

// HasUnsent reports whether there are reports that the collector has not accepted.
func (r *Reporter) HasUnsent() bool { return r.next-1 > r.accepted }

// Unbooked returns the number of reports that are not booked yet.
func (r *Reporter) Unbooked() int { return len(r.kept) }

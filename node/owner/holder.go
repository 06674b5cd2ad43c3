package owner

import (
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// AdoptLeases implements plane.LeaseHolder.
func (o *Owner) AdoptLeases(leases []plane.Lease) {
	now := o.cfg.Clock()
	o.mu.Lock()
	for _, lease := range leases {
		o.adoptLease(now, lease)
	}
	o.mu.Unlock()
	o.requestSendGrants()
}

func (o *Owner) adoptLease(now time.Duration, lease plane.Lease) {
	if drained, ok := o.drainedFences[lease.Slice]; ok && !drained.Less(lease.Fence) {
		// The renewal was in flight when the slice was given up.
		return
	}
	s, held := o.slices[lease.Slice]
	if held && s.onDrained != nil && !s.lease.Fence.Less(lease.Fence) {
		s.until.Store(int64(lease.Until))
		return
	}
	if !held || s.isClosed() {
		delete(o.drainedFences, lease.Slice)
		o.openSlice(lease)
		o.cfg.Logger.Info("slice adopted", "slice", lease.Slice.String(), "service", lease.Service,
			"fence", lease.Fence.String(), "reason", "lease granted")
		return
	}
	if lease.Fence.Less(s.lease.Fence) {
		return
	}
	sameFence := lease.Fence == s.lease.Fence
	if !sameFence && !s.continuedBy(now, lease) {
		s.until.Store(0)
		s.close(outcome.ReasonLeaseLapsed)
		o.openSlice(lease)
		return
	}
	if !sameFence {
		s.grant.reset()
	}
	s.lease = lease
	s.until.Store(int64(lease.Until))
}

// openSlice starts serving a slice under a new lease. Requests admitted under an earlier lease may
// still be running.
func (o *Owner) openSlice(lease plane.Lease) {
	next := newSlice(lease, o.initialWindow(lease))
	for _, previous := range []*slice{o.slices[lease.Slice], o.ended[lease.Slice]} {
		if previous != nil && !previous.isIdle() {
			next.previous = previous
		}
	}
	delete(o.ended, lease.Slice)
	o.slices[lease.Slice] = next
}

// initialWindow returns the window of request IDs for a new lease: the one handed over by the
// previous owner, or an empty one. A window that cannot be decoded is replaced by an empty one,
// which refuses more requests but allows no duplicate execution.
func (o *Owner) initialWindow(lease plane.Lease) *outcome.Window {
	if lease.Window == nil {
		return outcome.NewWindow(o.cfg.Window, lease.FirstAt)
	}
	window, err := outcome.DecodeWindow(o.cfg.Window, lease.Window)
	if err != nil {
		o.cfg.Logger.Error("window of request IDs cannot be decoded, replaced by an empty one", "slice", lease.Slice.String(), "reason", err.Error())
		return outcome.NewWindow(o.cfg.Window, lease.FirstAt)
	}
	return window
}

// EndLeases implements plane.LeaseHolder. Waiting requests end as not run. Requests already at the
// target were sent under a valid lease, so their answers are still delivered.
func (o *Owner) EndLeases(ids []keyspace.SliceID, reason string) {
	o.mu.Lock()
	for _, id := range ids {
		o.endSlice(id, reason)
	}
	o.mu.Unlock()
	o.requestSendGrants()
}

// endSlice stops serving a slice; the caller holds the lock.
func (o *Owner) endSlice(id keyspace.SliceID, reason string) {
	s, held := o.slices[id]
	if !held {
		return
	}
	s.until.Store(0)
	s.close(outcome.ReasonLeaseLapsed)
	delete(o.slices, id)
	o.pendingRevokes = append(o.pendingRevokes, id)
	// The lease has ended, so the window must not be handed over any more.
	s.onDrained = nil
	if !s.isIdle() {
		o.ended[id] = s
	}
	o.cfg.Logger.Info("slice lease ended", "slice", id.String(), "fence", s.lease.Fence.String(), "reason", reason)
}

// Abandon implements plane.LeaseHolder. It succeeds only if the target checks fences and every
// grant sent to it has expired. While the lock is held, no grant in flight outlasts grantedUntil,
// so no request of the slices can take effect at the target any more.
func (o *Owner) Abandon(ids []keyspace.SliceID, reason string) bool {
	checksFences := o.target.Info().ChecksFences
	o.mu.Lock()
	if !checksFences || o.cfg.Clock() < o.grantedUntil {
		o.mu.Unlock()
		return false
	}
	for _, id := range ids {
		if s, held := o.slices[id]; held {
			o.drainedFences[id] = s.lease.Fence
		}
		o.endSlice(id, reason)
	}
	o.mu.Unlock()
	o.requestSendGrants()
	return true
}

// Drain implements plane.LeaseHolder. For a slice that is not held, done receives no window: it is
// called at once, or when the requests of the ended lease have finished.
func (o *Owner) Drain(id keyspace.SliceID, done func(window []byte)) {
	o.mu.Lock()
	s, held := o.slices[id]
	if ended := o.ended[id]; !held && ended != nil {
		ended.onDrained = done
		o.mu.Unlock()
		return
	}
	if !held {
		o.mu.Unlock()
		done(nil)
		return
	}
	s.close(outcome.ReasonMoving)
	s.onDrained = done
	o.cfg.Logger.Info("draining slice", "slice", id.String(), "fence", s.lease.Fence.String(),
		"running", s.active, "in_doubt", s.unresolved, "reason", "moving")
	callbacks := o.finishDrain(s)
	o.mu.Unlock()
	callAll(callbacks)
}

// requestEnded is called when a request of the slice has ended. It completes a drain that waits
// for it, also if the slice has been replaced or ended since. The caller holds the lock and runs
// the returned functions after releasing it.
func (o *Owner) requestEnded(s *slice) []func() {
	id := s.lease.Slice
	if current, held := o.slices[id]; held {
		return o.finishDrain(current)
	}
	ended := o.ended[id]
	if ended == nil || !ended.isIdle() {
		return nil
	}
	delete(o.ended, id)
	done := ended.onDrained
	if done == nil {
		return nil
	}
	return []func(){func() { done(nil) }}
}

// finishDrain gives up a draining slice if none of its requests can still be running. The
// caller holds the lock and runs the returned functions after releasing it.
func (o *Owner) finishDrain(s *slice) []func() {
	if s.onDrained == nil || !s.isIdle() || o.slices[s.lease.Slice] != s {
		return nil
	}
	done := s.onDrained
	s.onDrained = nil
	s.until.Store(0)
	delete(o.slices, s.lease.Slice)
	o.drainedFences[s.lease.Slice] = s.lease.Fence
	o.pendingRevokes = append(o.pendingRevokes, s.lease.Slice)
	logger := o.cfg.Logger
	return []func(){o.requestSendGrants, func() {
		// The slice is no longer in any map, so the window is read here without the lock.
		window, err := s.window.Encode()
		if err != nil {
			logger.Error("window of request IDs cannot be encoded, not handed over", "slice", s.lease.Slice.String(), "reason", err.Error())
		}
		logger.Info("slice drained", "slice", s.lease.Slice.String(), "window_bytes", len(window), "reason", "no requests running")
		done(window)
	}}
}

// Report implements plane.LeaseHolder.
func (o *Owner) Report() plane.TargetReport {
	report := o.target.Report()
	o.mu.Lock()
	defer o.mu.Unlock()
	report.Utilization = o.usage.readUtilization(o.elapsed())
	return report
}

// SliceLoads implements plane.LeaseHolder.
func (o *Owner) SliceLoads() []plane.SliceLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	loads := make([]plane.SliceLoad, 0, len(o.slices))
	for id, s := range o.slices {
		reading := s.meter.Read()
		if reading.Requests == 0 {
			continue
		}
		load := plane.SliceLoad{
			Slice:      id,
			WorkMillis: uint32(reading.Work / uint64(time.Millisecond)),
			Requests:   reading.Requests,
			HotKey:     reading.HotKey,
		}
		if reading.Work > 0 {
			load.HotShare = uint32(reading.HotWork * 1000 / reading.Work)
		}
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b plane.SliceLoad) int { return int(b.WorkMillis) - int(a.WorkMillis) })
	return loads
}

// UnresolvedSlices returns the slices with unresolved calls, which may still run on the target,
// whether the slices are still held or not. A slice that was on a target that does not check
// fences must not be granted again before it has left this list or the target is gone.
func (o *Owner) UnresolvedSlices() []keyspace.SliceID {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[keyspace.SliceID]bool{}
	for call := range o.unresolved {
		if call.slice != nil {
			seen[call.slice.lease.Slice] = true
		}
	}
	list := make([]keyspace.SliceID, 0, len(seen))
	for id := range seen {
		list = append(list, id)
	}
	return list
}

func callAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}

// slotUsage integrates the number of slots in use over time to measure slot utilization.
type slotUsage struct {
	slots       int
	running     int
	changedAt   time.Duration
	busyTime    time.Duration
	readAt      time.Duration
	lastReading uint32
}

// minReadingInterval is the shortest interval over which slot utilization is measured.
const minReadingInterval = 100 * time.Millisecond

func (u *slotUsage) advance(now time.Duration) {
	u.busyTime += time.Duration(u.running) * (now - u.changedAt)
	u.changedAt = now
}

func (u *slotUsage) add(now time.Duration, n int) {
	u.advance(now)
	u.running += n
}

func (u *slotUsage) setSlots(now time.Duration, slots int) {
	u.advance(now)
	u.slots = slots
}

// readUtilization returns the average slot utilization since the last reading, in thousandths.
// Within minReadingInterval of the last reading it returns that reading again.
func (u *slotUsage) readUtilization(now time.Duration) uint32 {
	u.advance(now)
	span := now - u.readAt
	if span < minReadingInterval || u.slots == 0 {
		return u.lastReading
	}
	u.lastReading = uint32(u.busyTime * 1000 / (span * time.Duration(u.slots)))
	u.busyTime = 0
	u.readAt = now
	return u.lastReading
}

package owner

import (
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// Adopt implements plane.Holder.
func (o *Owner) Adopt(leases []plane.Lease) {
	now := o.cfg.Clock()
	o.mu.Lock()
	for _, lease := range leases {
		o.adopt(now, lease)
	}
	o.mu.Unlock()
	o.requestPush()
}

func (o *Owner) adopt(now time.Duration, lease plane.Lease) {
	if drained, ok := o.drained[lease.Slice]; ok && !drained.Less(lease.Fence) {
		// The renewal was in flight when the slice was given up.
		return
	}
	s, held := o.slices[lease.Slice]
	if held && s.drained != nil && !s.lease.Fence.Less(lease.Fence) {
		s.until.Store(int64(lease.Until))
		return
	}
	if !held || s.isClosed() {
		delete(o.drained, lease.Slice)
		o.open(lease)
		o.cfg.Logger.Info("slice adopted", "slice", lease.Slice.String(), "service", lease.Service,
			"fence", lease.Fence.String(), "reason", "lease granted")
		return
	}
	if lease.Fence.Less(s.lease.Fence) {
		return
	}
	sameFence := lease.Fence == s.lease.Fence
	if !sameFence && !s.continues(now, lease) {
		s.until.Store(0)
		s.close(outcome.ReasonLeaseLapsed)
		o.open(lease)
		return
	}
	if !sameFence {
		s.grant.reset()
	}
	s.lease = lease
	s.until.Store(int64(lease.Until))
}

// open starts serving a slice under a new lease. Requests admitted under an earlier lease may
// still be running.
func (o *Owner) open(lease plane.Lease) {
	next := newSlice(lease, o.firstWindow(lease))
	for _, former := range []*slice{o.slices[lease.Slice], o.ended[lease.Slice]} {
		if former != nil && !former.quiet() {
			next.former = former
		}
	}
	delete(o.ended, lease.Slice)
	o.slices[lease.Slice] = next
}

// firstWindow returns the window of request IDs for a new lease: the one handed over by the
// previous owner, or an empty one. A window that cannot be decoded is replaced by an empty one,
// which refuses more requests but allows no duplicate execution.
func (o *Owner) firstWindow(lease plane.Lease) *outcome.Window {
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

// End implements plane.Holder. Waiting requests end as not run. Requests already at the target
// were sent under a valid lease, so their answers are still delivered.
func (o *Owner) End(ids []keyspace.SliceID, reason string) {
	o.mu.Lock()
	for _, id := range ids {
		o.end(id, reason)
	}
	o.mu.Unlock()
	o.requestPush()
}

// end stops serving a slice; the caller holds the lock.
func (o *Owner) end(id keyspace.SliceID, reason string) {
	s, held := o.slices[id]
	if !held {
		return
	}
	s.until.Store(0)
	s.close(outcome.ReasonLeaseLapsed)
	delete(o.slices, id)
	o.revoke = append(o.revoke, id)
	// The lease has ended, so the window must not be handed over any more.
	s.drained = nil
	if !s.quiet() {
		o.ended[id] = s
	}
	o.cfg.Logger.Info("slice lease ended", "slice", id.String(), "fence", s.lease.Fence.String(), "reason", reason)
}

// Abandon implements plane.Holder. It succeeds only if the target checks fences and every grant
// sent to it has expired. While the lock is held, no grant in flight outlasts grantedUntil, so
// no request of the slices can take effect at the target any more.
func (o *Owner) Abandon(ids []keyspace.SliceID, reason string) bool {
	checks := o.target.Info().ChecksFences
	o.mu.Lock()
	if !checks || o.cfg.Clock() < o.grantedUntil {
		o.mu.Unlock()
		return false
	}
	for _, id := range ids {
		if s, held := o.slices[id]; held {
			o.drained[id] = s.lease.Fence
		}
		o.end(id, reason)
	}
	o.mu.Unlock()
	o.requestPush()
	return true
}

// Drain implements plane.Holder. For a slice that is not held, done receives no window: it is
// called at once, or when the requests of the ended lease have finished.
func (o *Owner) Drain(id keyspace.SliceID, done func(window []byte)) {
	o.mu.Lock()
	s, held := o.slices[id]
	if left := o.ended[id]; !held && left != nil {
		left.drained = done
		o.mu.Unlock()
		return
	}
	if !held {
		o.mu.Unlock()
		done(nil)
		return
	}
	s.close(outcome.ReasonMoving)
	s.drained = done
	o.cfg.Logger.Info("draining slice", "slice", id.String(), "fence", s.lease.Fence.String(),
		"running", s.busy, "in_doubt", s.pending, "reason", "moving")
	finish := o.finishDrain(s)
	o.mu.Unlock()
	runAll(finish)
}

// settled is called when a request of the slice has ended. It completes a drain that waits for
// it, also if the slice has been replaced or ended since. The caller holds the lock and runs the
// returned functions after releasing it.
func (o *Owner) settled(s *slice) []func() {
	id := s.lease.Slice
	if current, held := o.slices[id]; held {
		return o.finishDrain(current)
	}
	left := o.ended[id]
	if left == nil || !left.quiet() {
		return nil
	}
	delete(o.ended, id)
	done := left.drained
	if done == nil {
		return nil
	}
	return []func(){func() { done(nil) }}
}

// finishDrain gives up a draining slice if none of its requests can still be running. The
// caller holds the lock and runs the returned functions after releasing it.
func (o *Owner) finishDrain(s *slice) []func() {
	if s.drained == nil || !s.quiet() || o.slices[s.lease.Slice] != s {
		return nil
	}
	done := s.drained
	s.drained = nil
	s.until.Store(0)
	delete(o.slices, s.lease.Slice)
	o.drained[s.lease.Slice] = s.lease.Fence
	o.revoke = append(o.revoke, s.lease.Slice)
	logger := o.cfg.Logger
	return []func(){o.requestPush, func() {
		// The slice is no longer in any map, so the window is read here without the lock.
		window, err := s.window.Encode()
		if err != nil {
			logger.Error("window of request IDs cannot be encoded, not handed over", "slice", s.lease.Slice.String(), "reason", err.Error())
		}
		logger.Info("slice drained", "slice", s.lease.Slice.String(), "window_bytes", len(window), "reason", "no requests running")
		done(window)
	}}
}

// Report implements plane.Holder.
func (o *Owner) Report() plane.TargetReport {
	report := o.target.Report()
	o.mu.Lock()
	defer o.mu.Unlock()
	report.Utilization = o.use.read(o.elapsed())
	return report
}

// SliceLoads implements plane.Holder.
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

// Unresolved returns the slices with unresolved calls, which may still run on the target,
// whether the slices are still held or not. A slice that was on a target that does not check
// fences must not be granted again before it has left this list or the target is gone.
func (o *Owner) Unresolved() []keyspace.SliceID {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[keyspace.SliceID]bool{}
	for call := range o.pending {
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

func runAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}

// usage integrates the number of slots in use over time to measure slot utilization.
type usage struct {
	slots    int
	running  int
	changed  time.Duration
	busyTime time.Duration
	readAt   time.Duration
	last     uint32
}

// minReading is the shortest interval over which slot utilization is measured.
const minReading = 100 * time.Millisecond

func (u *usage) advance(now time.Duration) {
	u.busyTime += time.Duration(u.running) * (now - u.changed)
	u.changed = now
}

func (u *usage) add(now time.Duration, n int) {
	u.advance(now)
	u.running += n
}

func (u *usage) setSlots(now time.Duration, slots int) {
	u.advance(now)
	u.slots = slots
}

// read returns the average slot utilization since the last reading, in thousandths. Within
// minReading of the last reading it returns that reading again.
func (u *usage) read(now time.Duration) uint32 {
	u.advance(now)
	span := now - u.readAt
	if span < minReading || u.slots == 0 {
		return u.last
	}
	u.last = uint32(u.busyTime * 1000 / (span * time.Duration(u.slots)))
	u.busyTime = 0
	u.readAt = now
	return u.last
}

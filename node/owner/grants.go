package owner

import (
	"context"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/node/target"
)

const (
	// grantTimeout bounds one exchange of grants with the target.
	grantTimeout = 500 * time.Millisecond
	// grantRetryDelay is the delay before a retry after a failed exchange.
	grantRetryDelay = 50 * time.Millisecond
	// grantAnswerTimeout is how long a request waits for the target to answer its slice's grant.
	grantAnswerTimeout = 300 * time.Millisecond
	// grantValidity is the longest validity of a grant. The grants of a frozen target expire this
	// long after the last exchange, well before the leases.
	grantValidity = 1500 * time.Millisecond
	// grantRefreshInterval is the interval at which grants are renewed.
	grantRefreshInterval = 500 * time.Millisecond
)

// requestSendGrants triggers sendGrants without waiting for the next refresh.
func (o *Owner) requestSendGrants() {
	select {
	case o.sendGrantsNow <- struct{}{}:
	default:
	}
}

// sendGrants keeps the grants of a target that checks fences up to date until ctx ends.
func (o *Owner) sendGrants(ctx context.Context) {
	refresh := time.NewTicker(grantRefreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
		case <-o.sendGrantsNow:
		}
		if o.sendGrantsOnce(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(grantRetryDelay):
			o.requestSendGrants()
		}
	}
}

// grantBatch is one set of grants and revocations for the target.
type grantBatch struct {
	grants  []target.Grant
	revokes []keyspace.SliceID
	// granted holds the slice of each grant, fences the fence under which it was granted.
	granted []*slice
	fences  []fence.Fence
}

// sendGrantsOnce sends all grants and revocations. It reports false if they must be sent again.
func (o *Owner) sendGrantsOnce(ctx context.Context) bool {
	info := o.target.Info()
	if info.Address == "" {
		return true
	}
	b := o.collectGrants(info.ChecksFences)
	if !info.ChecksFences {
		o.applyGrantAnswer(b, nil)
		return true
	}
	if len(b.grants)+len(b.revokes) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	refused, err := o.target.PutGrants(ctx, b.grants, b.revokes)
	if err != nil {
		o.requeueRevokes(b)
		o.cfg.Logger.Warn("sending grants to the target failed", "grants", len(b.grants), "reason", err.Error())
		return false
	}
	o.applyGrantAnswer(b, refused)
	return true
}

// collectGrants returns the grants and revocations to send. A target that checks fences and is
// suspect gets no grants.
func (o *Owner) collectGrants(checksFences bool) grantBatch {
	now := o.cfg.Clock()
	suspect := checksFences && o.target.Info().State == plane.TargetSuspect
	o.mu.Lock()
	defer o.mu.Unlock()
	var b grantBatch
	limit := o.grantLimit(now, checksFences)
	for id, s := range o.slices {
		if s.remaining(now) > 0 && !suspect {
			until := min(now+s.remaining(now), limit)
			o.grantedUntil = max(o.grantedUntil, until)
			b.grants = append(b.grants, target.Grant{Slice: id, Fence: s.lease.Fence, Until: until})
			b.granted = append(b.granted, s)
			b.fences = append(b.fences, s.lease.Fence)
		}
	}
	for _, id := range o.pendingRevokes {
		if _, heldAgain := o.slices[id]; !heldAgain {
			b.revokes = append(b.revokes, id)
		}
	}
	o.pendingRevokes = nil
	return b
}

// grantLimit returns the latest expiry of new grants; the caller holds the lock. While an
// exchange is unanswered, the target may be frozen, so new grants do not outlast those that it
// may already have.
func (o *Owner) grantLimit(now time.Duration, checksFences bool) time.Duration {
	if checksFences && o.grantsUnanswered && o.grantedUntil > now {
		return o.grantedUntil
	}
	return now + grantValidity
}

// requeueRevokes records a failed exchange; its revocations are sent again.
func (o *Owner) requeueRevokes(b grantBatch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.grantsUnanswered = true
	o.pendingRevokes = append(o.pendingRevokes, b.revokes...)
}

// applyGrantAnswer records the target's answer to a batch. A slice whose fence has changed since
// is left to the next batch.
func (o *Owner) applyGrantAnswer(b grantBatch, refused []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.grantsUnanswered = false
	for i, s := range b.granted {
		if s.lease.Fence != b.fences[i] {
			continue
		}
		isRefused := slices.Contains(refused, s.lease.Slice.String())
		if isRefused && !s.grant.refused {
			o.cfg.Logger.Error("grant refused by the target", "slice", s.lease.Slice.String(),
				"fence", s.lease.Fence.String(), "reason", "the target knows a higher fence")
		}
		s.grant.setAnswered(isRefused)
	}
}

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
	// grantRetry is the delay before a retry after a failed exchange.
	grantRetry = 50 * time.Millisecond
	// grantWait is how long a request waits for the target to answer its slice's grant.
	grantWait = 300 * time.Millisecond
	// grantHorizon is the longest validity of a grant. The grants of a frozen target expire this
	// long after the last exchange, well before the leases.
	grantHorizon = 1500 * time.Millisecond
	// grantRefresh is the interval at which grants are renewed.
	grantRefresh = 500 * time.Millisecond
)

func (o *Owner) requestPush() {
	select {
	case o.push <- struct{}{}:
	default:
	}
}

// sendGrants keeps the grants of a target that checks fences up to date until ctx ends.
func (o *Owner) sendGrants(ctx context.Context) {
	refresh := time.NewTicker(grantRefresh)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
		case <-o.push:
		}
		if o.sendOnce(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(grantRetry):
			o.requestPush()
		}
	}
}

// batch is one set of grants and revocations for the target.
type batch struct {
	grants []target.Grant
	revoke []keyspace.SliceID
	// waiting holds the slice of each grant, fences the fence under which it was granted.
	waiting []*slice
	fences  []fence.Fence
}

// sendOnce sends all grants and revocations. It reports false if they must be sent again.
func (o *Owner) sendOnce(ctx context.Context) bool {
	info := o.target.Info()
	if info.Address == "" {
		return true
	}
	b := o.collect(info.ChecksFences)
	if !info.ChecksFences {
		o.settle(b, nil)
		return true
	}
	if len(b.grants)+len(b.revoke) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	refused, err := o.target.PutGrants(ctx, b.grants, b.revoke)
	if err != nil {
		o.putBack(b)
		o.cfg.Logger.Warn("sending grants to the target failed", "grants", len(b.grants), "reason", err.Error())
		return false
	}
	o.settle(b, refused)
	return true
}

// collect returns the grants and revocations to send. A target that checks fences and is
// suspect gets no grants.
func (o *Owner) collect(checks bool) batch {
	now := o.cfg.Clock()
	suspect := checks && o.target.Info().State == plane.TargetSuspect
	o.mu.Lock()
	defer o.mu.Unlock()
	var b batch
	limit := o.grantLimit(now, checks)
	for id, s := range o.slices {
		if s.remaining(now) > 0 && !suspect {
			until := min(now+s.remaining(now), limit)
			o.grantedUntil = max(o.grantedUntil, until)
			b.grants = append(b.grants, target.Grant{Slice: id, Fence: s.lease.Fence, Until: until})
			b.waiting = append(b.waiting, s)
			b.fences = append(b.fences, s.lease.Fence)
		}
	}
	for _, id := range o.revoke {
		if _, heldAgain := o.slices[id]; !heldAgain {
			b.revoke = append(b.revoke, id)
		}
	}
	o.revoke = nil
	return b
}

// grantLimit returns the latest expiry of new grants; the caller holds the lock. While an
// exchange is unanswered, the target may be frozen, so new grants do not outlast those that it
// may already have.
func (o *Owner) grantLimit(now time.Duration, checks bool) time.Duration {
	if checks && o.unanswered && o.grantedUntil > now {
		return o.grantedUntil
	}
	return now + grantHorizon
}

func (o *Owner) putBack(b batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unanswered = true
	o.revoke = append(o.revoke, b.revoke...)
}

// settle records the target's answer to a batch. A slice whose fence has changed since is left
// to the next batch.
func (o *Owner) settle(b batch, refused []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unanswered = false
	for i, s := range b.waiting {
		if s.lease.Fence != b.fences[i] {
			continue
		}
		isRefused := slices.Contains(refused, s.lease.Slice.String())
		if isRefused && !s.grant.refused {
			o.cfg.Logger.Error("grant refused by the target", "slice", s.lease.Slice.String(),
				"fence", s.lease.Fence.String(), "reason", "the target knows a higher fence")
		}
		s.grant.settle(isRefused)
	}
}

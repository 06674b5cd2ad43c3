package owner

import (
	"context"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/target"
)

const (
	// grantTimeout bounds one exchange of grants with the target.
	grantTimeout = 500 * time.Millisecond
	// grantRetry is the wait before grants are sent again after a failure.
	grantRetry = 50 * time.Millisecond
	// grantWait is how long a request waits for the target to learn of its grant.
	grantWait = 300 * time.Millisecond
	// grantSlack is the longest exchange whose grants are left as they are. A slower one may
	// have lengthened them at the target, so they are sent again with what remains.
	grantSlack = 100 * time.Millisecond
)

func (o *Owner) requestPush() {
	select {
	case o.push <- struct{}{}:
	default:
	}
}

// sendGrants keeps a target that checks fences informed until ctx ends.
func (o *Owner) sendGrants(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
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

// batch is one set of grants on its way to the target.
type batch struct {
	grants []target.Grant
	revoke []keyspace.SliceID
	// waiting lists the grants whose outcome is awaited, with the state to settle.
	waiting []*slice
	fences  []fence.Fence
}

// sendOnce sends all grants and reports whether that is done for now.
func (o *Owner) sendOnce(ctx context.Context) bool {
	info := o.target.Info()
	if info.Address == "" {
		return true
	}
	b := o.collect()
	if !info.ChecksFences {
		o.settle(b, nil)
		return true
	}
	if len(b.grants)+len(b.revoke) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	started := o.cfg.Clock()
	refused, err := o.target.PutGrants(ctx, b.grants, b.revoke)
	if err != nil {
		o.putBack(b)
		o.cfg.Logger.Warn("grants not delivered", "grants", len(b.grants), "reason", err.Error())
		return false
	}
	if o.cfg.Clock()-started > grantSlack {
		o.requestPush()
	}
	o.settle(b, refused)
	return true
}

func (o *Owner) collect() batch {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	var b batch
	for id, s := range o.slices {
		if remaining := s.remaining(now); remaining > 0 {
			b.grants = append(b.grants, target.Grant{Slice: id, Fence: s.lease.Fence, Remaining: remaining})
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

func (o *Owner) putBack(b batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revoke = append(o.revoke, b.revoke...)
}

// settle records what the target said of a batch. A slice whose fence has changed since waits
// for the next one.
func (o *Owner) settle(b batch, refused []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
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

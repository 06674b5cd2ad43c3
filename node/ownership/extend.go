package ownership

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/objects"
)

// maxVoters bounds the voters of a lease: enough that a majority remains if a few are lost together
// with the owner, and few enough that asking them is cheap in a large fleet.
const maxVoters = 9

// extendLoop asks the voters for promises while the lease is not renewed.
func (o *Ownership) extendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, o.cfg.Timing.ExtendInterval, nil)
		o.extend(ctx)
	}
}

// extend extends a lease whose renewal is overdue if a majority of its voters promises it.
func (o *Ownership) extend(ctx context.Context) {
	o.mu.Lock()
	sent := o.cfg.Clock()
	overdue := o.lease.IsOverdue(sent, 2*o.renewInterval())
	request := VoteRequest{Owner: o.cfg.Self.Name, Version: int64(o.version)}
	voters, pending, inDoubt := o.voters, o.pendingVoters, o.writeInDoubt
	o.mu.Unlock()
	if !overdue {
		return
	}
	yes := o.askVoters(ctx, append(slices.Clone(voters), pending...), request)
	o.mu.Lock()
	defer o.mu.Unlock()
	enough := holding.IsMajority(voters, yes) && (!inDoubt || holding.IsMajority(pending, yes))
	// If the lease was lost or renewed in the meantime, the promises are for a former version of it.
	if enough && int64(o.version) == request.Version {
		o.lease.Extended(sent)
	}
	o.cfg.Log.Info("lease extension", "granted", enough, "yes", len(yes), "voters", len(voters), "version", objects.Version(request.Version),
		"until_ms", o.lease.Remaining(o.cfg.Clock()).Milliseconds())
}

// askVoters asks all voters concurrently and returns those that answered yes.
func (o *Ownership) askVoters(ctx context.Context, voters []string, request VoteRequest) map[string]bool {
	slices.Sort(voters)
	voters = slices.Compact(voters)
	type vote struct {
		name string
		yes  bool
	}
	votes := make(chan vote, len(voters))
	for _, name := range voters {
		go func() { votes <- vote{name, o.askVoter(ctx, name, request)} }()
	}
	yes := make(map[string]bool)
	for range voters {
		if v := <-votes; v.yes {
			yes[v.name] = true
		}
	}
	return yes
}

// askVoter asks one voter; no answer counts as no.
func (o *Ownership) askVoter(ctx context.Context, voter string, request VoteRequest) bool {
	if voter == o.cfg.Self.Name {
		return o.Vote(request)
	}
	o.mu.Lock()
	p := o.peers[voter]
	o.mu.Unlock()
	if p == nil {
		return false
	}
	yes, err := o.cfg.Voters.Ask(ctx, voter, p.entry.Address, request)
	return err == nil && yes
}

// Vote answers the request of another node for a vote about the lease of an owner. It promises
// nothing before this process has read the entries from the store: a former process may have
// consented to a takeover, which only the revocation in the store shows.
func (o *Ownership) Vote(request VoteRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Clock()
	yes := false
	if request.Revoked {
		yes = o.voter.Consent(now, request.Owner, request.Version)
	} else {
		yes = o.hasReadStore && o.voter.Promise(now, request.Owner, request.Version)
	}
	o.cfg.Log.Info("vote", "owner", request.Owner, "version", objects.Version(request.Version), "revoked", request.Revoked, "yes", yes)
	return yes
}

// chooseVoters returns the voters of the next entry, sorted: live nodes spread over as many failure
// domains as possible. The caller holds the lock.
func (o *Ownership) chooseVoters(now time.Duration) []string {
	byDomain := make(map[string][]string)
	for name, p := range o.peers {
		if name != o.cfg.Self.Name && p.isLive(now) && !p.entry.Stopping {
			byDomain[p.entry.FailureDomain] = append(byDomain[p.entry.FailureDomain], name)
		}
	}
	domains := make([][]string, 0, len(byDomain))
	for _, names := range byDomain {
		slices.Sort(names)
		domains = append(domains, names)
	}
	slices.SortFunc(domains, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	var voters []string
	for row := 0; len(voters) < maxVoters; row++ {
		before := len(voters)
		for _, names := range domains {
			if row < len(names) && len(voters) < maxVoters {
				voters = append(voters, names[row])
			}
		}
		if len(voters) == before {
			break
		}
	}
	slices.Sort(voters)
	return voters
}

// mayTakeOver reports whether no extension of a revoked lease can still be valid: the voters have
// consented to the takeover, the node's address belongs to another VM, or the longest possible
// extension has ended since the last renewal was seen.
func (o *Ownership) mayTakeOver(ctx context.Context, name string) bool {
	o.mu.Lock()
	p := o.peers[name]
	if p == nil || p.entry.RevokedBy == "" {
		o.mu.Unlock()
		return p == nil
	}
	version, voters := p.version, p.entry.Voters
	silent := o.cfg.Clock() - p.watch.Seen
	safe := p.replaced || len(voters) == 0 || o.consentedRevocations[name] == version || silent >= holding.AddDrift(o.cfg.Timing.ExtendLimit)
	o.mu.Unlock()
	if safe {
		return true
	}
	yes := o.askVoters(ctx, slices.Clone(voters), VoteRequest{Owner: name, Version: int64(version), Revoked: true})
	safe = holding.IsMajority(voters, yes)
	o.cfg.Log.Info("takeover asked", "peer", name, "version", version, "consented", safe, "yes", len(yes), "voters", len(voters))
	if safe {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.consentedRevocations[name] = version
	}
	return safe
}

// entriesKnownAt returns the time up to which the renewals of other nodes are known: now or, if the
// last successful read of the entries is more than two intervals old, the time of that read. The
// caller holds the lock.
func (o *Ownership) entriesKnownAt(now time.Duration) time.Duration {
	if now-o.entriesReadAt <= 2*o.cfg.Timing.EntryReadInterval {
		return now
	}
	return o.entriesReadAt
}

// recordVoters records the voters of an entry that was written or, after an error, of one whose write
// may still take effect.
func (o *Ownership) recordVoters(entry *Entry, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.pendingVoters, o.writeInDoubt = entry.Voters, true
		return
	}
	o.voters, o.pendingVoters, o.writeInDoubt = entry.Voters, nil, false
}

// revokedVersion returns the version of the entry if its lease is revoked, and zero otherwise.
func revokedVersion(entry *Entry, version objects.Version) int64 {
	if entry.RevokedBy == "" {
		return 0
	}
	return int64(version)
}

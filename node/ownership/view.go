package ownership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// Destination is a target to which requests can be routed, through the node that it is local to.
type Destination struct {
	// Node, Address, Region and FailureDomain are the node's.
	Node          string
	Address       string
	Region        string
	FailureDomain string
	// Target is the target's id, Born the start time of its process in Unix milliseconds, and Slots the
	// number of requests that it processes at a time.
	Target string
	Born   int64
	Slots  int
	// Local is set if the target is local to this node.
	Local bool
	// Ready is set if the target accepts new requests of a shared service.
	Ready bool
	// Cold is set if the target is or may be cold, as its node said last.
	Cold bool
}

// View is an immutable snapshot of the targets and slice owners of all services.
type View struct {
	services map[string]*serviceView
	nodes    int
}

type serviceView struct {
	targets []Destination
	// owners holds, by slice, the index of its owner in ownerTargets; negative if it has no known
	// owner.
	owners [holding.SliceCount]int
	keyed  bool
	// ownerTargets holds the owners that the table names and whose nodes are known.
	ownerTargets []Destination
	// version is the version of the table.
	version int64
}

// View returns the latest snapshot.
func (o *Ownership) View() *View { return o.view.Load() }

// Nodes returns the number of live nodes, at least one.
func (v *View) Nodes() int { return max(1, v.nodes) }

// Targets returns the targets of a service, sorted by node name.
func (v *View) Targets(service string) []Destination {
	if s := v.services[service]; s != nil {
		return s.targets
	}
	return nil
}

// Owner returns the target that owns a key, the version of the table used, and whether the key has a
// known owner. The version is zero if the service has no table.
func (v *View) Owner(service string, key int) (Destination, int64, bool) {
	s := v.services[service]
	if s == nil || !s.keyed {
		return Destination{}, 0, false
	}
	i := s.owners[holding.SliceOf(key)]
	if i < 0 {
		return Destination{}, s.version, false
	}
	return s.ownerTargets[i], s.version, true
}

// rebuildView replaces the view by one of the present state. The caller holds the lock.
func (o *Ownership) rebuildView(now time.Duration) {
	v := &View{services: make(map[string]*serviceView)}
	service := func(name string) *serviceView {
		s := v.services[name]
		if s == nil {
			s = &serviceView{}
			v.services[name] = s
		}
		return s
	}
	for _, p := range o.peers {
		if !p.isLive(o.entriesKnownAt(now)) {
			continue
		}
		v.nodes++
		if t := p.entry.Target; t != nil {
			s := service(t.Service)
			s.targets = append(s.targets, o.destination(p))
		}
	}
	for _, s := range v.services {
		slices.SortFunc(s.targets, func(a, b Destination) int { return strings.Compare(a.Node, b.Node) })
	}
	for name, t := range o.tables {
		service(name).setOwners(t, o.ownerDestination)
	}
	o.view.Store(v)
}

func (s *serviceView) setOwners(t *table, find func(holding.Owner) (Destination, bool)) {
	s.keyed, s.version = true, int64(t.version)
	index := make([]int, len(t.Owners))
	for i, owner := range t.Owners {
		index[i] = -1
		if d, ok := find(owner); ok {
			index[i] = len(s.ownerTargets)
			s.ownerTargets = append(s.ownerTargets, d)
		}
	}
	for i, slice := range t.Slices {
		s.owners[i] = -1
		if slice.Owner >= 0 {
			s.owners[i] = index[slice.Owner]
		}
	}
}

func (o *Ownership) destination(p *peer) Destination {
	t := p.entry.Target
	return Destination{
		Node: p.entry.Name, Address: p.entry.Address, Region: p.entry.Region, FailureDomain: p.entry.FailureDomain,
		Target: t.ID, Born: t.Born, Slots: t.Slots, Local: p.entry.Name == o.cfg.Self.Name,
		Ready: !t.Draining && !p.entry.Stopping && !o.isEvacuated(p.entry.FailureDomain, false), Cold: t.Load.Cold > 0,
	}
}

func (o *Ownership) ownerDestination(owner holding.Owner) (Destination, bool) {
	p := o.peers[owner.Node]
	if p == nil {
		return Destination{}, false
	}
	return Destination{
		Node: p.entry.Name, Address: p.entry.Address, Region: p.entry.Region, FailureDomain: p.entry.FailureDomain,
		Target: owner.Target, Born: owner.Born, Local: owner.Node == o.cfg.Self.Name, Ready: true,
	}, true
}

// LocalTarget describes the local target for a request that is to be sent to it.
type LocalTarget struct {
	ID string
	// Born is the start time of the target process in Unix milliseconds.
	Born    int64
	Address string
	Service string
	Slots   int
}

// Admit returns the local target and ReasonNone if a request of the service may be sent to it now,
// and otherwise the reason why not. If keyed is set, the target must hold the key. Whether the
// service is keyed is decided by the first node that handles the request, since this node may not
// know the configuration yet.
func (o *Ownership) Admit(service string, keyed bool, key int) (LocalTarget, outcome.Reason) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	process := o.target
	if process == nil || process.ended || process.report.Service != service {
		return LocalTarget{}, outcome.ReasonTargetAbsent
	}
	local := process.local()
	if o.isEvacuated(o.cfg.Self.FailureDomain, keyed) {
		return local, outcome.ReasonEvacuated
	}
	if !keyed {
		if process.isLeaving() {
			return local, outcome.ReasonTargetDraining
		}
		return local, outcome.ReasonNone
	}
	if process.isLeaving() && now-process.leavingSince > o.cfg.Timing.DrainGrace {
		return local, outcome.ReasonTargetDraining
	}
	return local, o.holdReason(process, service, holding.SliceOf(key), now)
}

// holdReason returns the reason why the target does not hold a slice, or ReasonNone if it does. The
// caller holds the lock.
func (o *Ownership) holdReason(process *targetProcess, service string, slice int, now time.Duration) outcome.Reason {
	t := o.tables[service]
	if t == nil {
		return outcome.ReasonNoOwner
	}
	owner, ok := t.OwnerOf(slice)
	if !ok || owner != process.owner(o.cfg.Self.Name) {
		return outcome.ReasonNotOwner
	}
	if process.grantsLapsed(now) {
		return outcome.ReasonLeaseLapsed
	}
	// A slice that is to move stays with the target until a heartbeat response no longer grants it.
	// If a heartbeat has been received since the first response that granted the slice, that
	// heartbeat must report the slice as held.
	isGranted := process.lastGranted[slice] != 0 && process.lastGranted[slice] == process.lastResponse
	if !isGranted || process.refused[slice] || process.heartbeatAt > process.grantedSince[slice] && !process.report.Holds(slice) {
		return outcome.ReasonMoving
	}
	return outcome.ReasonNone
}

// ReportKeyNotHeld records that the target process refused a request because it does not hold the
// key. The slice gets no requests until a later heartbeat response has granted it again. It does not count as
// released: the request may have overtaken the response that grants the slice, which the target then takes.
func (o *Ownership) ReportKeyNotHeld(id string, born int64, key int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	process := o.target
	if process == nil || process.report.ID != id || process.report.Born != born {
		return
	}
	slice := holding.SliceOf(key)
	if granted := process.lastGranted[slice]; granted != 0 && !process.refused[slice] {
		o.cfg.Log.Warn("slice not held by its target", "target", id, "slice", slice,
			"granted_ms_ago", (o.cfg.Clock() - granted).Milliseconds(),
			"reported_since_grant", process.heartbeatAt > granted, "moving", o.isMoving(process.report.Service, slice))
	}
	process.refused[slice] = true
}

// isMoving reports whether a slice is to move to another target. The caller holds the lock.
func (o *Ownership) isMoving(service string, slice int) bool {
	t := o.tables[service]
	return t != nil && t.Slices[slice].Next >= 0
}

// isEvacuated reports whether requests, for keys or of shared services, may not be sent now to targets in the domain.
func (o *Ownership) isEvacuated(domain string, keyed bool) bool {
	return o.cfg.Evacuations != nil && o.cfg.Evacuations.Refuses(domain, keyed)
}

// EvacuationsChanged must be called after the evacuated failure domains have changed. It does not wait for the slices of
// their targets to move.
func (o *Ownership) EvacuationsChanged() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rebuildView(o.cfg.Clock())
	notify(o.reconcileSoon)
}

// HasFailureDomain reports whether any known node is in the failure domain.
func (o *Ownership) HasFailureDomain(domain string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if domain == o.cfg.Self.FailureDomain {
		return true
	}
	for _, p := range o.peers {
		if p.entry.FailureDomain == domain {
			return true
		}
	}
	return false
}

// LeaseLeft returns the remaining time of the node's lease.
func (o *Ownership) LeaseLeft() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaseLeft(o.cfg.Clock())
}

// leaseLeft is LeaseLeft for a caller that holds the lock. The lease that other nodes see may be longer than the one
// under which keys are granted.
func (o *Ownership) leaseLeft(now time.Duration) time.Duration {
	return max(o.lease.Remaining(now), o.announcedUntil-now)
}

// Status is the node's state as shown by the admin listener.
type Status struct {
	Node       string           `json:"node"`
	LeaseValid bool             `json:"lease_valid"`
	Proved     bool             `json:"lease_proved"`
	Nodes      []string         `json:"nodes"`
	Tables     map[string]int64 `json:"tables"`
	Target     string           `json:"target"`
}

// Status returns the node's state.
func (o *Ownership) Status() Status {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	s := Status{
		Node: o.cfg.Self.Name, LeaseValid: o.leaseLeft(now) > 0, Proved: o.lease.Proved(), Tables: make(map[string]int64),
	}
	for name, p := range o.peers {
		if p.isLive(o.entriesKnownAt(now)) {
			s.Nodes = append(s.Nodes, name)
		}
	}
	slices.Sort(s.Nodes)
	for name, t := range o.tables {
		s.Tables[name] = int64(t.version)
	}
	if o.target != nil && !o.target.ended {
		s.Target = o.target.report.ID
	}
	return s
}

// PeerAddresses returns the addresses of the other nodes that are not stopping, whether or not
// their leases are valid: a node that cannot reach the store does not know of renewals.
func (o *Ownership) PeerAddresses() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var addresses []string
	for name, p := range o.peers {
		if name != o.cfg.Self.Name && !p.entry.Stopping {
			addresses = append(addresses, p.entry.Address)
		}
	}
	return addresses
}

// RegionOf returns the region of the node at an address; empty if no entry names the address.
func (o *Ownership) RegionOf(address string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if nodes := o.peersAt[address]; len(nodes) > 0 {
		return nodes[0].entry.Region
	}
	return ""
}

// RegionPeers returns the address of each live node in this node's region, by name, except of those that
// are stopping. This node is included once its entry is written. A node that does not know the entries yet returns the
// members that another node has told it.
func (o *Ownership) RegionPeers() map[string]string {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.hasReadStore {
		return maps.Clone(o.startMembers)
	}
	addresses := make(map[string]string)
	for name, p := range o.peers {
		if p.entry.Region == o.cfg.Self.Region && !p.entry.Stopping && p.isLive(o.entriesKnownAt(now)) {
			addresses[name] = p.entry.Address
		}
	}
	return addresses
}

// WithOwner adds a keyed service whose keys the target owns to a view made by NewView, and returns the view. It is meant
// for tests of other packages.
func (v *View) WithOwner(service string, owner Destination) *View {
	s := v.services[service]
	if s == nil {
		s = &serviceView{}
		v.services[service] = s
	}
	s.keyed, s.ownerTargets, s.owners = true, []Destination{owner}, [holding.SliceCount]int{}
	return v
}

// NewView returns a view of shared services with the given targets, by service. It is meant for
// tests of other packages.
func NewView(targets map[string][]Destination) *View {
	v := &View{services: make(map[string]*serviceView)}
	for service, list := range targets {
		v.services[service] = &serviceView{targets: list}
	}
	return v
}

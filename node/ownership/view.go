package ownership

import (
	"slices"
	"strings"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// Destination is a target as other nodes see it, beside the node that guards it.
type Destination struct {
	Node    string
	Address string
	Region  string
	Target  string
	Slots   int
	// Local tells that the target stands beside this node.
	Local bool
	// Ready tells that the target takes new work of a shared service.
	Ready bool
}

// View is what is known of all services at one time. It is immutable.
type View struct {
	services map[string]*serviceView
}

type serviceView struct {
	targets []Destination
	// owners has the index in all of each slice's owner; negative if it has none that is known.
	owners [holding.Slices]int
	keyed  bool
	all    []Destination
	// version is the table's.
	version int64
}

// View returns what is known now.
func (o *Ownership) View() *View { return o.view.Load() }

// Targets returns the targets of a service.
func (v *View) Targets(service string) []Destination {
	if s := v.services[service]; s != nil {
		return s.targets
	}
	return nil
}

// Owner returns the target that holds a key, and the version of the table that says so.
func (v *View) Owner(service string, key int) (Destination, int64, bool) {
	s := v.services[service]
	if s == nil || !s.keyed {
		return Destination{}, 0, false
	}
	i := s.owners[holding.SliceOf(key)]
	if i < 0 {
		return Destination{}, s.version, false
	}
	return s.all[i], s.version, true
}

// rebuild makes the view anew; the caller holds the lock.
func (o *Ownership) rebuild(now time.Duration) {
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
		if t := p.entry.Target; t != nil && p.isLive(o.knownAt(now)) {
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
			index[i] = len(s.all)
			s.all = append(s.all, d)
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
		Node: p.entry.Name, Address: p.entry.Address, Region: p.entry.Region,
		Target: t.ID, Slots: t.Slots, Local: p.entry.Name == o.cfg.Self.Name,
		Ready: !t.Draining && !p.entry.Stopping,
	}
}

func (o *Ownership) ownerDestination(owner holding.Owner) (Destination, bool) {
	p := o.peers[owner.Node]
	if p == nil {
		return Destination{}, false
	}
	return Destination{
		Node: p.entry.Name, Address: p.entry.Address, Region: p.entry.Region,
		Target: owner.Target, Local: owner.Node == o.cfg.Self.Name, Ready: true,
	}, true
}

// Local is the target beside this node as a request may be sent to it now.
type Local struct {
	ID      string
	Born    int64
	Address string
	Service string
	Slots   int
}

// Admit returns the local target if a request of the service may be sent to it now, and otherwise
// the reason why not. With keyed the target must hold the key; whether the service is divided by
// key is for the request's first node to say, since this one may not know the configuration yet.
func (o *Ownership) Admit(service string, keyed bool, key int) (Local, outcome.Reason) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.life
	if l == nil || l.dead || l.report.Service != service {
		return Local{}, outcome.ReasonTargetAbsent
	}
	local := Local{
		ID: l.report.ID, Born: l.report.Born, Address: l.report.Address, Service: service, Slots: l.report.Slots,
	}
	if !keyed {
		if l.isLeaving() {
			return local, outcome.ReasonTargetDraining
		}
		return local, outcome.ReasonNone
	}
	if l.isLeaving() && now-l.leftAt > o.cfg.Timing.DrainGrace {
		return local, outcome.ReasonTargetDraining
	}
	return local, o.holds(l, service, holding.SliceOf(key), now)
}

// holds tells why the target does not hold a slice; the caller holds the lock.
func (o *Ownership) holds(l *life, service string, slice int, now time.Duration) outcome.Reason {
	t := o.tables[service]
	if t == nil {
		return outcome.ReasonNoOwner
	}
	owner, ok := t.OwnerOf(slice)
	if !ok || owner != l.owner(o.cfg.Self.Name) {
		return outcome.ReasonNotOwner
	}
	if l.isLapsed(now) {
		return outcome.ReasonLeaseLapsed
	}
	// Until an answer leaves the slice out, the target holds it also while it is to move. A
	// heartbeat after the first answer that named it must show that the target took it.
	if l.granted[slice] == 0 || l.granted[slice] != l.answered || l.heard > l.since[slice] && !l.report.Holds(slice) {
		return outcome.ReasonMoving
	}
	return outcome.ReasonNone
}

// NotHeld records that the target refused a request because it does not hold the key: the slice
// counts as held again when a further answer has granted it.
func (o *Ownership) NotHeld(id string, born int64, key int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.life
	if l == nil || l.report.ID != id || l.report.Born != born {
		return
	}
	slice := holding.SliceOf(key)
	if l.granted[slice] != 0 {
		o.cfg.Log.Warn("slice not held by its target", "target", id, "slice", slice,
			"granted_ms_ago", (o.cfg.Clock() - l.granted[slice]).Milliseconds())
	}
	l.granted[slice] = 0
}

// LeaseLeft returns how long the node's lease still runs.
func (o *Ownership) LeaseLeft() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Left(o.cfg.Clock())
}

// Status is what the admin listener shows.
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
		Node: o.cfg.Self.Name, LeaseValid: o.lease.Valid(now), Proved: o.lease.Proved(), Tables: make(map[string]int64),
	}
	for name, p := range o.peers {
		if p.isLive(o.knownAt(now)) {
			s.Nodes = append(s.Nodes, name)
		}
	}
	slices.Sort(s.Nodes)
	for name, t := range o.tables {
		s.Tables[name] = int64(t.version)
	}
	if o.life != nil && !o.life.dead {
		s.Target = o.life.report.ID
	}
	return s
}

// Others returns the addresses of the other nodes that are not stopping, whether their leases
// run or not: a node that is cut off from the store cannot tell.
func (o *Ownership) Others() []string {
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

// NewView returns a view of shared services with the targets, for tests of its users.
func NewView(targets map[string][]Destination) *View {
	v := &View{services: make(map[string]*serviceView)}
	for service, list := range targets {
		v.services[service] = &serviceView{targets: list}
	}
	return v
}

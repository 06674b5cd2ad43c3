package ingress

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/routing"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

// ErrNoRoute reports that the configuration has no route for a host and path.
var ErrNoRoute = errors.New("no route")

// Query names the request that Where is asked about.
type Query struct {
	Host, Path string
	// Key is the key of the request, valid only if HasKey is set.
	Key    int
	HasKey bool
}

// Whereabouts tells where a node would send a request.
type Whereabouts struct {
	// Config is the version of the configuration, and Confirmed is set if it is confirmed to be current.
	Config    uint64 `json:"config"`
	Confirmed bool   `json:"config_confirmed"`
	Route     string `json:"route"`
	Kind      string `json:"kind"`
	// Homes are the regions in which the request may be served; empty if all are allowed.
	Homes []string `json:"homes,omitempty"`
	// Region is the node's region.
	Region string `json:"region"`
	// Places holds one entry for each service of the route.
	Places []Place `json:"places"`
}

// Place tells where a request goes if its route sends it to a service.
type Place struct {
	Service string `json:"service"`
	// Share is the share of the route's requests that the service gets, between 0 and 1.
	Share float64 `json:"share"`
	// Keyed is set if the request goes to the owner of its key, which the table of the given version names.
	Keyed bool    `json:"keyed"`
	Key   *int    `json:"key,omitempty"`
	Table int64   `json:"table_version,omitempty"`
	Owner *Option `json:"owner,omitempty"`
	// Candidates are the targets of a shared service, sorted by node.
	Candidates []Option `json:"candidates,omitempty"`
	// Chosen is the node to which the request would most probably be sent; empty if it would be refused or wait, for the
	// reason in Why.
	Chosen string `json:"chosen,omitempty"`
	Why    string `json:"why"`
}

// Option is a target to which a request might be sent. Times are in milliseconds.
type Option struct {
	Node          string `json:"node"`
	Target        string `json:"target"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	// Excluded is why the target gets no such request: home, evacuated, leaving or not-ready; empty if it may.
	Excluded string `json:"excluded,omitempty"`
	// Cold is set if the target's node said last that it is or may be cold.
	Cold  bool `json:"cold,omitempty"`
	Slots int  `json:"slots,omitempty"`
	// InFlight is the number of requests of this node at the target.
	InFlight int `json:"in_flight"`
	// LatencyMillis is the average time of the answers to this node, MeasuredMillisAgo the age of the last one; absent if
	// there are none.
	LatencyMillis     *float64 `json:"latency_ms,omitempty"`
	MeasuredMillisAgo *int64   `json:"measured_ms_ago,omitempty"`
	// AvoidedMillis is how long the target is avoided because it could not be reached or has refused a request.
	AvoidedMillis int64 `json:"avoided_ms,omitempty"`
	// Limit is the number of requests per second to which the target has limited itself; absent if there is no limit.
	Limit *float64 `json:"limit_per_s,omitempty"`
	// Chance is the share of the draws in which the load balancer chooses the target.
	Chance float64 `json:"chance,omitempty"`
}

// whereDraws is the number of draws from which Option.Chance is computed.
const whereDraws = 200

// Where returns where a request would be sent, by the functions that decide on requests. It sends nothing and does
// not ask targets for their load. It fails with ErrNoRoute.
func (d *Dispatcher) Where(config *routing.Config, confirmed bool, q Query) (Whereabouts, error) {
	route := config.Lookup(q.Host, q.Path)
	if route == nil {
		return Whereabouts{}, errors.Wrapf(ErrNoRoute, "host %q, path %q, configuration %d", q.Host, q.Path, config.Version)
	}
	w := Whereabouts{
		Config: config.Version, Confirmed: confirmed, Route: route.Name, Kind: route.Kind.String(), Homes: route.Homes, Region: d.deps.Region,
	}
	total := 0.0
	for _, s := range route.Services {
		total += s.Weight
	}
	for _, s := range route.Services {
		request := &relay.Request{
			RequestMeta: exchange.RequestMeta{Key: q.Key, HasKey: q.HasKey}, Service: s.Service, Kind: route.Kind,
			Keyed: q.HasKey && config.Services[s.Service].Keyed, Homes: routing.RegionsOf(route.Homes),
		}
		p := (&dispatchState{Dispatcher: d, request: request, route: route}).place(d.deps.View())
		if p.Share = s.Weight / total; math.IsNaN(p.Share) || math.IsInf(p.Share, 0) {
			p.Share = 0
		}
		w.Places = append(w.Places, p)
	}
	return w, nil
}

func (s *dispatchState) place(view *ownership.View) Place {
	if s.request.Keyed {
		return s.ownerPlace(view)
	}
	return s.sharedPlace(view)
}

func (s *dispatchState) ownerPlace(view *ownership.View) Place {
	p := Place{Service: s.request.Service, Keyed: true, Key: &s.request.Key}
	d, refusal, ok := s.owner(view)
	p.Table = s.request.TableVersion
	if d.Node != "" {
		option := s.option(d)
		p.Owner = &option
	}
	if !ok {
		p.Why = refusedText(refusal)
		return p
	}
	p.Chosen, p.Why = d.Node, "owner of the key"
	return p
}

func (s *dispatchState) sharedPlace(view *ownership.View) Place {
	p := Place{Service: s.request.Service}
	index := make(map[string]int)
	for i, d := range view.Targets(s.request.Service) {
		p.Candidates = append(p.Candidates, s.option(d))
		index[d.Node] = i
	}
	targets, refusal, ok := s.sharedTargets(view)
	if !ok {
		p.Why = refusedText(refusal)
		return p
	}
	draws := s.draw(targets)
	best := -1
	for i, n := range draws {
		p.Candidates[index[targets[i].Node]].Chance = float64(n) / whereDraws
		if n > 0 && (best < 0 || n > draws[best]) {
			best = i
		}
	}
	if best < 0 {
		p.Why = refusedText(relay.NotRun(outcome.ReasonNoOwner))
		return p
	}
	p.Chosen = targets[best].Node
	p.Why = "most often the lowest expected wait of the targets drawn at random, those in the own region first, without asking targets for their load"
	return p
}

// draw returns how often the load balancer chooses each of the targets.
func (s *dispatchState) draw(targets []ownership.Destination) []int {
	candidates, now := s.candidates(targets), time.Since(s.start)
	counts := make([]int, len(targets))
	s.mu.Lock()
	picker := s.picker.Clone()
	s.mu.Unlock()
	for range whereDraws {
		if i, ok := picker.Pick(now, candidates, rand.IntN); ok {
			counts[i]++
		}
	}
	return counts
}

func refusedText(result relay.Result) string {
	if result.Retryable() {
		return "nowhere now, a request would wait: " + string(result.Reason)
	}
	return "nowhere, a request would be refused: " + string(result.Reason)
}

// option describes a target, with what this node knows of it.
func (s *dispatchState) option(d ownership.Destination) Option {
	_, leaving := s.leavingFor(d)
	o := Option{
		Node: d.Node, Target: d.Target, Region: d.Region, FailureDomain: d.FailureDomain, Ready: s.isReady(d), Cold: d.Cold, Slots: d.Slots,
	}
	switch {
	case !s.request.Homes.Allows(d.Region):
		o.Excluded = "home"
	case s.isEvacuated(d):
		o.Excluded = "evacuated"
	case leaving:
		o.Excluded = "leaving"
	case !o.Ready:
		o.Excluded = "not-ready"
	}
	now := time.Since(s.start)
	s.mu.Lock()
	known, state := s.picker.Known(now, balance.Candidate{Name: d.Node, Incarnation: hash(d.Target)}), s.states.of(d)
	s.mu.Unlock()
	o.InFlight, o.AvoidedMillis = known.InFlight, known.AvoidedFor.Milliseconds()
	if known.Latency > 0 {
		latency, age := float64(known.Latency.Microseconds())/1000, known.MeasuredAgo.Milliseconds()
		o.LatencyMillis, o.MeasuredMillisAgo = &latency, &age
	}
	if state.Limit.Valid {
		o.Limit = &state.Limit.PerSecond
	}
	return o
}

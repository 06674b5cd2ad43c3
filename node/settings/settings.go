// Package settings defines the TOML settings of a node with their defaults and validation.
//
// Load reads a file, fills in defaults and reports all faults at once, each with the path
// of its field and, if the file contains the field, its line.
package settings

import (
	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/sheet"
)

// Settings is the content of a node's settings file.
type Settings struct {
	Cluster Cluster    `toml:"cluster"`
	Node    Node       `toml:"node"`
	Listen  Listen     `toml:"listen"`
	Store   Store      `toml:"store"`
	Target  Target     `toml:"target"`
	Timing  Timing     `toml:"timing"`
	Load    LoadPolicy `toml:"load"`
	Account Account    `toml:"account"`
	Log     Log        `toml:"log"`
	Limits  Limits     `toml:"limits"`
}

// Cluster identifies the installation. Nodes reject peers of other clusters.
type Cluster struct {
	Name string `toml:"name" validate:"required,name"`
}

// Node is the node's name and its location in the installation.
type Node struct {
	// Name is the name of the VM.
	Name          string `toml:"name" validate:"required,name"`
	Region        string `toml:"region" validate:"required,name"`
	FailureDomain string `toml:"failure_domain" validate:"required,name"`
	// Cell is the cell that the node joins; it defaults to the region's name.
	Cell string `toml:"cell" validate:"omitempty,name"`
}

// Listen holds the listeners' addresses and those advertised to other nodes and callers.
// Each is an IP address with a port.
type Listen struct {
	// Entry serves HTTP requests of callers.
	Entry string `toml:"entry" validate:"required,ipport"`
	// Peer serves gRPC calls of other nodes.
	Peer string `toml:"peer" validate:"required,ipport"`
	// Target serves announcements of the target on this VM.
	Target string `toml:"target" validate:"required,ipport"`
	// Admin serves metrics, health, readiness and status.
	Admin string `toml:"admin" validate:"required,ipport"`
	// AdvertiseEntry, AdvertisePeer and AdvertiseAdmin are the advertised addresses; they
	// default to the listeners' addresses.
	AdvertiseEntry string `toml:"advertise_entry" validate:"omitempty,ipport,specified"`
	AdvertisePeer  string `toml:"advertise_peer" validate:"omitempty,ipport,specified"`
	AdvertiseAdmin string `toml:"advertise_admin" validate:"omitempty,ipport,specified"`
}

// Store configures the node's access to the platform's object store.
type Store struct {
	URL string `toml:"url" validate:"required,httpurl"`
	// RequestTimeout is the timeout of one attempt of a call.
	RequestTimeout Duration `toml:"request_timeout" validate:"gt=0"`
	// WatchWait is how long the store may hold one poll of a watch.
	WatchWait Duration `toml:"watch_wait" validate:"gt=0"`
	// CallsPerSecond and CallBurst limit the calls for the account and for sharing the
	// quarantine between nodes. The calls of the control component are not limited.
	CallsPerSecond float64 `toml:"calls_per_second" validate:"gt=0"`
	CallBurst      int     `toml:"call_burst" validate:"gt=0"`
}

// Target configures the connection to the target on the node's VM.
type Target struct {
	// MaxConnections is the maximum number of pooled connections to the target.
	MaxConnections int      `toml:"max_connections" validate:"gt=0,lte=100"`
	ProbeInterval  Duration `toml:"probe_interval" validate:"gt=0"`
	ProbeTimeout   Duration `toml:"probe_timeout" validate:"gt=0"`
	// AnnounceTimeout is how long after its last announcement a target counts as present.
	AnnounceTimeout Duration `toml:"announce_timeout" validate:"gt=0"`
}

// Timing holds the intervals and timeouts of the ownership protocol.
type Timing struct {
	// Lease is how long a node may serve keys after it sent the request that renewed its
	// lease.
	Lease Duration `toml:"lease" validate:"gt=0"`
	// Promise is how long a standby controller promises not to take over from the controller.
	Promise Duration `toml:"promise" validate:"gt=0"`
	// Tick is the interval between heartbeats.
	Tick Duration `toml:"tick" validate:"gt=0"`
	// Ask is the interval between the controller's requests for a promise.
	Ask Duration `toml:"ask" validate:"gt=0"`
	// DrainTimeout limits the wait for requests in flight when the node stops.
	DrainTimeout Duration `toml:"drain_timeout" validate:"gt=0"`
	// DriftPerMille is the maximum difference in rate between two clocks, in thousandths.
	DriftPerMille int64 `toml:"drift_per_mille" validate:"gte=0,lte=100"`
}

// Cell converts the settings to the timing of the cell protocol.
func (t Timing) Cell() cell.Timing {
	return cell.Timing{
		Lease:             t.Lease.Std(),
		Promise:           t.Promise.Std(),
		HeartbeatInterval: t.Tick.Std(),
		PromiseInterval:   t.Ask.Std(),
		DriftPerMille:     t.DriftPerMille,
	}
}

// Admission disciplines, the values of LoadPolicy.Discipline.
const (
	// DisciplineProtected applies the whole load policy.
	DisciplineProtected = "protected"
	// DisciplineFirstCome serves requests in order of arrival, without load shedding or
	// pacing; it is the baseline in measurements.
	DisciplineFirstCome = "first-come"
)

// LoadPolicy configures admission control, load balancing, retries and pacing.
type LoadPolicy struct {
	// Discipline is DisciplineProtected or DisciplineFirstCome.
	Discipline string `toml:"discipline" validate:"oneof=protected first-come"`
	// ShortReserved is the share of a target's slots that long work may not take.
	ShortReserved float64 `toml:"short_reserved" validate:"gte=0,lt=1"`
	// LongWork is the work time below which no request counts as long. Above it, a request
	// counts as long if it takes many times the typical work time.
	LongWork Duration `toml:"long_work" validate:"gt=0"`
	// QueueDelay is the minimum queueing delay at which requests are shed under overload;
	// where requests take longer, the threshold is twice the typical work time.
	QueueDelay Duration `toml:"queue_delay" validate:"gt=0"`
	// KeyShare is the maximum share of a target's slots that one key may occupy.
	KeyShare float64 `toml:"key_share" validate:"gt=0,lte=1"`
	// RetryShare is the number of internal retries allowed per first attempt.
	RetryShare float64 `toml:"retry_share" validate:"gte=0,lte=1"`
	// WarmUp is the time over which a new target's share of the load of shared services
	// ramps up.
	WarmUp Duration `toml:"warm_up" validate:"gt=0"`
	// RegionLinkMbits is the rate limit for long transfers to other regions, in Mbit/s, summed
	// over all nodes of the region.
	RegionLinkMbits float64 `toml:"region_link_mbits" validate:"gt=0"`
}

// Account configures the node's part in the account, the monthly record of request
// outcomes in the store.
type Account struct {
	// ReportInterval is the interval between reports to the controller. If a node is lost, its
	// counts since the last report are lost with it.
	ReportInterval Duration `toml:"report_interval" validate:"gt=0"`
	// SegmentInterval is the interval between account segments that the controller writes to
	// the store.
	SegmentInterval Duration `toml:"segment_interval" validate:"gt=0"`
	// Silence is the time without a report after which the account marks a gap for a node.
	Silence Duration `toml:"silence" validate:"gt=0"`
}

// Log configures the node's log.
type Log struct {
	// Format is "text" or "json".
	Format string `toml:"format" validate:"oneof=text json"`
	// Level is the lowest level that is logged.
	Level string `toml:"level" validate:"oneof=debug info warn error"`
	// DecisionSample N logs one in N routine routing decisions; 1 logs all of them.
	DecisionSample int `toml:"decision_sample" validate:"gt=0"`
}

// Limits holds limits on callers' requests and on the node's queues and connections.
type Limits struct {
	BodyBytes   int64 `toml:"body_bytes" validate:"gt=0"`
	HeaderBytes int   `toml:"header_bytes" validate:"gt=0"`
	KeyBytes    int   `toml:"key_bytes" validate:"gt=0,lte=4096"`
	// QueueLength is the maximum number of requests that wait for the target.
	QueueLength int `toml:"queue_length" validate:"gt=0"`
	// PeerConnections is the maximum number of connections to other nodes.
	PeerConnections int `toml:"peer_connections" validate:"gt=0"`
	// MaxDeadline is the longest deadline that a caller may request. It also caps the default
	// deadline of requests without one.
	MaxDeadline Duration `toml:"max_deadline" validate:"gt=0"`
}

// Provision fills in the fields whose defaults depend on other fields.
func (s *Settings) Provision() {
	s.Node.Cell = sheet.CellOrRegion(s.Node.Cell, s.Node.Region)
	setAdvertised(&s.Listen.AdvertiseEntry, s.Listen.Entry)
	setAdvertised(&s.Listen.AdvertisePeer, s.Listen.Peer)
	setAdvertised(&s.Listen.AdvertiseAdmin, s.Listen.Admin)
}

func setAdvertised(field *string, listener string) {
	if *field == "" && isIPPort(listener) {
		*field = listener
	}
}

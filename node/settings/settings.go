// Package settings holds the TOML settings of a node: their fields, defaults and checks.
//
// Load reads a file, fills in what it leaves out and reports every fault at once, each
// with its path and, where the file holds the field, its line.
package settings

import (
	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/sheet"
)

// Settings is everything that a node learns from its settings file.
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

// Cluster names the installation. Nodes refuse peers of another cluster.
type Cluster struct {
	Name string `toml:"name" validate:"required,name"`
}

// Node says who and where the node is.
type Node struct {
	// Name is the name of the VM.
	Name          string `toml:"name" validate:"required,name"`
	Region        string `toml:"region" validate:"required,name"`
	FailureDomain string `toml:"failure_domain" validate:"required,name"`
	// Cell is the cell that the node joins; the region's name when left out.
	Cell string `toml:"cell" validate:"omitempty,name"`
}

// Listen gives the listeners and the addresses under which others reach them. All are an
// IP address with a port.
type Listen struct {
	// Entry takes callers' HTTP requests.
	Entry string `toml:"entry" validate:"required,ipport"`
	// Peer takes gRPC calls of other nodes.
	Peer string `toml:"peer" validate:"required,ipport"`
	// Target takes announcements of the target on this VM.
	Target string `toml:"target" validate:"required,ipport"`
	// Admin serves metrics, health, readiness and status.
	Admin string `toml:"admin" validate:"required,ipport"`
	// AdvertiseEntry, AdvertisePeer and AdvertiseAdmin are told to others; they equal the
	// listeners' addresses when left out.
	AdvertiseEntry string `toml:"advertise_entry" validate:"omitempty,ipport,specified"`
	AdvertisePeer  string `toml:"advertise_peer" validate:"omitempty,ipport,specified"`
	AdvertiseAdmin string `toml:"advertise_admin" validate:"omitempty,ipport,specified"`
}

// Store says how the node reaches the platform's object store.
type Store struct {
	URL string `toml:"url" validate:"required,httpurl"`
	// RequestTimeout bounds one try of a call.
	RequestTimeout Duration `toml:"request_timeout" validate:"gt=0"`
	// WatchWait is how long one poll of a watch waits for changes.
	WatchWait Duration `toml:"watch_wait" validate:"gt=0"`
	// CallsPerSecond and CallBurst are the budget of calls for the account and the sharing of
	// bans; the control side calls the store outside it.
	CallsPerSecond float64 `toml:"calls_per_second" validate:"gt=0"`
	CallBurst      int     `toml:"call_burst" validate:"gt=0"`
}

// Target says how the node treats the target on its VM.
type Target struct {
	// MaxConnections caps the pooled connections to the target.
	MaxConnections int      `toml:"max_connections" validate:"gt=0,lte=100"`
	ProbeInterval  Duration `toml:"probe_interval" validate:"gt=0"`
	ProbeTimeout   Duration `toml:"probe_timeout" validate:"gt=0"`
	// AnnounceTimeout is how long a target that stopped announcing itself counts as present.
	AnnounceTimeout Duration `toml:"announce_timeout" validate:"gt=0"`
}

// Timing holds the times of the ownership protocol.
type Timing struct {
	// Lease is how long a node may serve after the request that renewed its lease.
	Lease Duration `toml:"lease" validate:"gt=0"`
	// Promise is how long a standby controller promises not to take over.
	Promise Duration `toml:"promise" validate:"gt=0"`
	// Tick is the time between two heartbeats.
	Tick Duration `toml:"tick" validate:"gt=0"`
	// Ask is the time between the controller's requests for a promise.
	Ask Duration `toml:"ask" validate:"gt=0"`
	// DrainTimeout bounds the wait for work in flight when the node stops.
	DrainTimeout Duration `toml:"drain_timeout" validate:"gt=0"`
	// DriftPerMille is the greatest difference in rate between two clocks, in thousandths.
	DriftPerMille int64 `toml:"drift_per_mille" validate:"gte=0,lte=100"`
}

// Cell returns the durations as the cell's protocol takes them.
func (t Timing) Cell() cell.Timing {
	return cell.Timing{
		Lease:         t.Lease.Std(),
		Promise:       t.Promise.Std(),
		Heartbeat:     t.Tick.Std(),
		Ask:           t.Ask.Std(),
		DriftPerMille: t.DriftPerMille,
	}
}

// Disciplines of admission.
const (
	// DisciplineProtected applies the whole load policy.
	DisciplineProtected = "protected"
	// DisciplineFirstCome serves in order of arrival, sheds nothing and paces nothing; it is
	// the baseline of measurements.
	DisciplineFirstCome = "first-come"
)

// LoadPolicy is the policy of admission and balance.
type LoadPolicy struct {
	// Discipline is DisciplineProtected or DisciplineFirstCome.
	Discipline string `toml:"discipline" validate:"oneof=protected first-come"`
	// ShortReserved is the share of a target's slots that long work may not take.
	ShortReserved float64 `toml:"short_reserved" validate:"gte=0,lt=1"`
	// LongWork is the work time below which no request counts as long; above it one does that
	// takes many times longer than is typical.
	LongWork Duration `toml:"long_work" validate:"gt=0"`
	// QueueDelay is the least time in queue at which requests are shed at overload; where work
	// takes longer it is twice the typical work time.
	QueueDelay Duration `toml:"queue_delay" validate:"gt=0"`
	// KeyShare is the largest share of a target's slots that one key may take.
	KeyShare float64 `toml:"key_share" validate:"gt=0,lte=1"`
	// RetryShare is the number of internal retries allowed for each first try.
	RetryShare float64 `toml:"retry_share" validate:"gte=0,lte=1"`
	// WarmUp is the time over which a new target's share of the work of shared services grows
	// to its full size.
	WarmUp Duration `toml:"warm_up" validate:"gt=0"`
	// RegionLinkMbits is the rate allowed to long transfers to other regions, in Mbit/s, over
	// all nodes of the region.
	RegionLinkMbits float64 `toml:"region_link_mbits" validate:"gt=0"`
}

// Account says how the node takes part in the account.
type Account struct {
	// ReportInterval is the time between two reports to the controller: what a node counted
	// since its last report is lost with it.
	ReportInterval Duration `toml:"report_interval" validate:"gt=0"`
	// SegmentInterval is the time between two segments that the controller writes.
	SegmentInterval Duration `toml:"segment_interval" validate:"gt=0"`
	// Silence is the time without a report after which a gap is marked for a node.
	Silence Duration `toml:"silence" validate:"gt=0"`
}

// Log says what the node logs and how.
type Log struct {
	// Format is "text" or "json".
	Format string `toml:"format" validate:"oneof=text json"`
	// Level is the lowest level written.
	Level string `toml:"level" validate:"oneof=debug info warn error"`
	// DecisionSample writes one of so many routine routing decisions; one writes all.
	DecisionSample int `toml:"decision_sample" validate:"gt=0"`
}

// Limits bounds what callers may send and what the node keeps for them.
type Limits struct {
	BodyBytes   int64 `toml:"body_bytes" validate:"gt=0"`
	HeaderBytes int   `toml:"header_bytes" validate:"gt=0"`
	KeyBytes    int   `toml:"key_bytes" validate:"gt=0,lte=4096"`
	// QueueLength is the number of requests that may wait for the target.
	QueueLength int `toml:"queue_length" validate:"gt=0"`
	// PeerConnections caps the connections to other nodes.
	PeerConnections int `toml:"peer_connections" validate:"gt=0"`
	// MaxDeadline is the longest time that a caller may ask to wait, and the time when it
	// asks for none.
	MaxDeadline Duration `toml:"max_deadline" validate:"gt=0"`
}

// Provision fills in the fields whose default follows from another field.
func (s *Settings) Provision() {
	s.Node.Cell = sheet.CellOrRegion(s.Node.Cell, s.Node.Region)
	advertise(&s.Listen.AdvertiseEntry, s.Listen.Entry)
	advertise(&s.Listen.AdvertisePeer, s.Listen.Peer)
	advertise(&s.Listen.AdvertiseAdmin, s.Listen.Admin)
}

func advertise(field *string, listener string) {
	if *field == "" && isAddress(listener) {
		*field = listener
	}
}

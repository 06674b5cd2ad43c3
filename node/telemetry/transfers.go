package telemetry

import "github.com/prometheus/client_golang/prometheus"

// Region tells whether the other end of a call is in the node's own region.
type Region string

// The regions of calls. That of the store is not known to a node, nor is that of an address which no entry names.
const (
	OwnRegion     Region = "own"
	OtherRegion   Region = "other"
	UnknownRegion Region = "unknown"
)

// Transfers counts the bytes of a node's calls to other nodes and to the store.
type Transfers struct {
	bytes *prometheus.CounterVec
}

// NewTransfers creates the counters and registers them with r. It panics if they are registered already.
func NewTransfers(r prometheus.Registerer) *Transfers {
	t := &Transfers{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "transfer_bytes_total",
		Help: "Bytes of calls that this node made to other nodes and to the store, by purpose, region of the other end and direction.",
	}, []string{"purpose", "region", "direction"})}
	r.MustRegister(t.bytes)
	return t
}

// Add counts the bytes of a call or a part of one. The purposes come from a fixed set.
func (t *Transfers) Add(purpose string, region Region, sent, received int64) {
	t.bytes.WithLabelValues(purpose, string(region), "sent").Add(float64(sent))
	t.bytes.WithLabelValues(purpose, string(region), "received").Add(float64(received))
}

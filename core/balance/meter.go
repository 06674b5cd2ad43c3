package balance

// meterKeys is the number of keys that a Meter follows.
const meterKeys = 8

// Meter measures the work of one slice and its heaviest key in a small fixed memory. A key
// with more than an eighth of the work is sure to be among those followed.
type Meter struct {
	work     uint64
	requests uint32
	keys     [meterKeys]keyWork
}

type keyWork struct {
	key  string
	work uint64
	// over is the most by which work may be too high.
	over uint64
}

// Add counts one request of the key that used work units of slot time.
func (m *Meter) Add(key string, work uint64) {
	m.work += work
	m.requests++
	least := 0
	for i := range m.keys {
		if m.keys[i].key == key {
			m.keys[i].work += work
			return
		}
		if m.keys[i].work < m.keys[least].work {
			least = i
		}
	}
	k := &m.keys[least]
	*k = keyWork{key: key, work: k.work + work, over: k.work}
}

// Reading is what a Meter measured.
type Reading struct {
	Work     uint64
	Requests uint32
	// HotKey is the key with the most work, and HotWork what is sure to be its own.
	HotKey  string
	HotWork uint64
}

// Read returns what was measured since the last reading and starts anew.
func (m *Meter) Read() Reading {
	r := Reading{Work: m.work, Requests: m.requests}
	for _, k := range m.keys {
		if sure := k.work - k.over; sure > r.HotWork {
			r.HotKey, r.HotWork = k.key, sure
		}
	}
	*m = Meter{}
	return r
}

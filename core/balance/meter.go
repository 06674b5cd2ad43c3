package balance

// meterKeys is the number of keys that a Meter tracks.
const meterKeys = 8

// Meter measures the work of one slice and finds its heaviest key in constant memory with the
// Space-Saving algorithm. A key with more than an eighth of the work is always tracked.
type Meter struct {
	work     uint64
	requests uint32
	keys     [meterKeys]keyWork
}

type keyWork struct {
	key  string
	work uint64
	// overestimate is the maximum by which work may exceed the key's true work.
	overestimate uint64
}

// Add counts one request of the key that used the given slot time. The caller chooses the unit.
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
	*k = keyWork{key: key, work: k.work + work, overestimate: k.work}
}

// Reading is the result of a Meter for one period.
type Reading struct {
	Work     uint64
	Requests uint32
	// HotKey is the key with the most guaranteed work, and HotWork the lower bound of its work.
	HotKey  string
	HotWork uint64
}

// Read returns the measurements since the last call and resets the meter.
func (m *Meter) Read() Reading {
	r := Reading{Work: m.work, Requests: m.requests}
	for _, k := range m.keys {
		if guaranteed := k.work - k.overestimate; guaranteed > r.HotWork {
			r.HotKey, r.HotWork = k.key, guaranteed
		}
	}
	*m = Meter{}
	return r
}

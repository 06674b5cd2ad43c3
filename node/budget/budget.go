// Package budget bounds the memory that a process holds for its clients. Memory is reserved before it is held, so
// that a client can be refused while its request has certainly not run.
//
// Locks: Memory.mu is a leaf lock. The functions given to OnFull are called without it.
package budget

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrFull reports that the budget has no room for a reservation.
var ErrFull = errors.New("no memory for the request")

const (
	// SmallBytes is the size up to which a request counts as small. Most requests have a head of about one KiB and a
	// body of a few.
	SmallBytes = 16 << 10
	// smallDivisor is the divisor of the limit that gives the part that only small requests may use.
	smallDivisor = 4
	// turnover is how often in a second the budget may be filled by large requests. What they release is garbage until
	// it is collected, so that the memory of a process can exceed its limit although few of them are held at a time.
	turnover = 2
	// relieveInterval is the shortest time between two searches for clients to disconnect, each of which looks at all
	// connections.
	relieveInterval = 10 * time.Millisecond
)

// Memory is a budget of memory held for clients, in bytes. A nil Memory has no limit. It is safe for concurrent use.
type Memory struct {
	limit int64

	mu   sync.Mutex
	held int64
	// churn is what large requests have reserved lately, which decays by turnover times the limit in a second, and
	// churnAt when it was computed.
	churn   int64
	churnAt time.Time
	// released is closed and replaced when memory is released.
	released chan struct{}
	relieve  []func()
	// relieved is the time of the last search for clients to disconnect.
	relieved time.Time
}

// New returns a budget with a limit in bytes.
func New(limit int64) *Memory {
	return &Memory{limit: limit, churnAt: time.Now(), released: make(chan struct{})}
}

// OnFull registers a function that disconnects clients that have stalled. It is called when a reservation has failed.
// All functions are registered before the first reservation.
func (a *Memory) OnFull(relieve func()) {
	if a != nil {
		a.relieve = append(a.relieve, relieve)
	}
}

// Class is the class of a reservation.
type Class int

const (
	// Small reservations may use the whole budget.
	Small Class = iota
	// Pipelined reservations are for requests behind others of the same connection. They leave a part of the budget to
	// the small ones.
	Pipelined
	// Large reservations do too, and are bounded in the bytes reserved per second.
	Large
)

// Reserve reserves bytes and reports whether there was room.
func (a *Memory) Reserve(bytes int64, class Class) bool {
	if a == nil || bytes <= 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserve(bytes, class)
}

// reserve is Reserve for a caller that holds the lock.
func (a *Memory) reserve(bytes int64, class Class) bool {
	if bytes > a.room(class) {
		return false
	}
	if class != Large {
		a.held += bytes
		return true
	}
	now := time.Now()
	// The limit keeps the product within the range of int64.
	decayed := int64(min(now.Sub(a.churnAt).Seconds()*turnover, 1) * float64(a.limit))
	if decayed > 0 {
		a.churn, a.churnAt = max(0, a.churn-decayed), now
	}
	if a.churn > 0 && bytes > a.limit-a.limit/smallDivisor-a.churn {
		return false
	}
	a.held += bytes
	a.churn += bytes
	return true
}

// room returns the bytes that a reservation of the class can have. The caller holds the lock.
func (a *Memory) room(class Class) int64 {
	if class == Small {
		return a.limit - a.held
	}
	return a.limit - a.limit/smallDivisor - a.held
}

// ReserveWithin is Reserve that disconnects stalled clients if there is no room, and waits for what they release.
func (a *Memory) ReserveWithin(bytes int64, class Class, within time.Duration) bool {
	if a.Reserve(bytes, class) {
		return true
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		a.mu.Lock()
		released, due := a.released, time.Since(a.relieved) >= relieveInterval
		if due {
			a.relieved = time.Now()
		}
		reserved := a.reserve(bytes, class)
		// Without this check, clients would be disconnected for garbage that others have left.
		due = due && bytes > a.room(class)
		a.mu.Unlock()
		if reserved {
			return true
		}
		if due {
			for _, relieve := range a.relieve {
				relieve()
			}
		}
		select {
		case <-released:
		case <-time.After(relieveInterval):
		case <-timer.C:
			return false
		}
	}
}

// Force reserves bytes that cannot be refused any more, because the request may have run. The budget may exceed its
// limit, which refuses further requests until it is below it again.
func (a *Memory) Force(bytes int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held += bytes
}

// Release returns reserved bytes to the budget.
func (a *Memory) Release(bytes int64) {
	if a == nil || bytes <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held -= bytes
	close(a.released)
	a.released = make(chan struct{})
}

// Held returns the number of bytes that are reserved.
func (a *Memory) Held() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Limit returns the limit in bytes; zero if there is none.
func (a *Memory) Limit() int64 {
	if a == nil {
		return 0
	}
	return a.limit
}

package pipeline

import (
	"bytes"
	"cmp"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/node/budget"
)

const (
	// fieldBytes is the memory that a header field takes besides its text: its entry in the map of the request, and in
	// the copies that are forwarded. A request with 10,000 fields of 6 bytes was measured with 1 MB for each copy.
	fieldBytes = 256
	// answerBytes is reserved for the answer of a request before it is known: what is buffered of an answer by the
	// request path (64 KiB) and by this package, where most answers are far below 128 KiB.
	answerBytes = 96 << 10
	// reserveWait is how long a request waits for memory of stalled clients that are disconnected for it.
	reserveWait = 300 * time.Millisecond
	// minStall is the shortest time for which a client keeps the node waiting before it can be disconnected in favour
	// of another one's request, and minIdle before it can be in favour of another connection. Where many clients
	// connect, each has as long for its request as the number of connections allows.
	minStall = 100 * time.Millisecond
	minIdle  = 5 * time.Millisecond
	// servedCredit is subtracted from the time for which a connection that has had an answer has been stalled, since
	// it more probably belongs to an ordinary client.
	servedCredit = time.Second
	// readCredit is subtracted from the time since the client's last bytes were accepted by the kernel, which reports
	// room in its buffer late.
	readCredit = 2 * time.Second
	// stallBytesPerSecond is the pace, in bytes per second, at which a sender or reader does not count as stalled. It is below
	// that of the slowest legal client, 20 KB/s.
	stallBytesPerSecond = 16_000
	// maxTransferSeconds bounds a computed transfer time. It exceeds the age of any connection.
	maxTransferSeconds = 1 << 30
	// batchDivisor is the divisor of the number of candidates that gives how many are disconnected at a time.
	batchDivisor = 16
	// paceGrace is how long a body may stay below the minimum pace at its start.
	paceGrace = 5 * time.Second
	// fullPoll and fullWait are the interval and the longest time for which a new connection waits for the place of
	// another.
	fullPoll = 2 * time.Millisecond
	fullWait = 500 * time.Millisecond
)

// Limit names a limit that a client has reached, for counters and log lines.
type Limit string

// Limits that a client can reach.
const (
	// LimitConnections: a connection was closed in favour of a new one.
	LimitConnections Limit = "connections"
	// LimitRefusedConnection: a new connection was closed because no other one was stalled.
	LimitRefusedConnection Limit = "connection-refused"
	// LimitMemoryClosed: a stalled connection was closed because memory was short.
	LimitMemoryClosed Limit = "memory-closed"
	// LimitMemory: a request was refused because memory was short.
	LimitMemory Limit = "memory"
	// LimitHeadBytes, LimitHeadFields and LimitHeadTime: a head was too large, had too many fields or took too long.
	LimitHeadBytes  Limit = "head-bytes"
	LimitHeadFields Limit = "head-fields"
	LimitHeadTime   Limit = "head-time"
	// LimitBodyPace: a body arrived too slowly.
	LimitBodyPace Limit = "body-pace"
	// LimitReadPace: an answer was read too slowly.
	LimitReadPace Limit = "read-pace"
	// LimitDrain: a connection was closed because the unread rest of a body was too long or too slow.
	LimitDrain Limit = "drain"
)

// reached records that a client has reached a limit.
func (s *Server) reached(l Limit) {
	if s.options.Reached != nil {
		s.options.Reached(l)
	}
}

// stalled is a connection whose client keeps the node waiting.
type stalled struct {
	connection *connection
	stalledFor time.Duration
	// crowded is set if the client's address has most of the connections, but not all.
	crowded bool
}

// stalledConnections returns the connections whose clients have kept the node waiting for that long, the first to
// disconnect first: those of an address that has most connections but not all, then the longest stalled. If holding is
// set, only those that hold memory are returned.
func (s *Server) stalledConnections(atLeast time.Duration, holding bool) []stalled {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []stalled
	for c := range s.connections {
		stalledFor, held := c.stall(now)
		if stalledFor < atLeast || (holding && held == 0) {
			continue
		}
		n := s.addresses[c.address]
		all = append(all, stalled{c, stalledFor, n > len(s.connections)/2 && n < len(s.connections)})
	}
	slices.SortFunc(all, func(a, b stalled) int {
		if a.crowded != b.crowded {
			if a.crowded {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.stalledFor, a.stalledFor)
	})
	return all
}

// disconnect closes the first stalled connections.
func (s *Server) disconnect(atLeast time.Duration, holding bool, why Limit) {
	all := s.stalledConnections(atLeast, holding)
	for _, x := range all[:min(len(all), 1+len(all)/batchDivisor)] {
		s.reached(why)
		x.connection.abort()
	}
}

// makeRoom waits until there is room for another connection and closes stalled ones for it. It returns false if no
// room was found.
func (s *Server) makeRoom() bool {
	limit := s.options.MaxConnections
	if limit == 0 {
		return true
	}
	for began := time.Now(); ; time.Sleep(fullPoll) {
		s.mu.Lock()
		n, closed := len(s.connections), s.closed
		s.mu.Unlock()
		switch {
		case n < limit || closed:
			return true
		case time.Since(began) > fullWait:
			return false
		}
		s.disconnect(minIdle, false, LimitConnections)
	}
}

// refuse answers a connection for which there is no room, without reading its request, and closes it.
func (s *Server) refuse(c net.Conn) {
	s.reached(LimitRefusedConnection)
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nContent-Length: 0\r\nConnection: close\r\n", int(RetryAfter/time.Second))
	// Writing to a bytes.Buffer does not fail.
	_ = s.options.RefusalHeader.Write(&text)
	text.WriteString("\r\n")
	_ = c.SetWriteDeadline(time.Now().Add(fullPoll))
	_, _ = c.Write(text.Bytes())
	_ = c.Close()
}

// stall returns how long the client has kept the node waiting, zero if it does not, and the bytes that the connection
// holds. Bytes that the client sent or read count in its favour, unless it has stopped.
func (c *connection) stall(now time.Time) (stalledFor time.Duration, held int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.aborted:
		return 0, c.held
	case c.lingering:
		// What the client may lose is only the end of a refusal.
		return now.Sub(c.idleSince) + servedCredit, c.held
	case !c.writing.IsZero():
		stalledFor = max(now.Sub(c.writing)-c.credit(c.written), now.Sub(c.writtenAt)-readCredit)
	case c.reading && !c.readingSince.IsZero():
		stalledFor = now.Sub(c.readingSince)
	case !c.bodyWait.IsZero():
		stalledFor = max(c.bodyWaited+now.Sub(c.bodyWait)-c.credit(c.bodyBytes), now.Sub(c.bodyWait))
	case c.pending == 0 && !c.reading:
		stalledFor = now.Sub(c.idleSince)
	}
	if c.served {
		stalledFor -= servedCredit
	}
	return stalledFor, c.held
}

// credit returns the time in which the slowest client that does not count as stalled transfers the bytes.
func (c *connection) credit(bytes int64) time.Duration {
	return transferTime(bytes, stallBytesPerSecond)
}

// transferTime returns the time that the bytes take at a pace in bytes per second. It is computed without the overflow
// that a body without limit could cause.
func transferTime(bytes, perSecond int64) time.Duration {
	return time.Duration(min(bytes/perSecond, maxTransferSeconds))*time.Second + time.Duration(bytes%perSecond)*time.Second/time.Duration(perSecond)
}

// hold adds reserved bytes to what the connection holds.
func (c *connection) hold(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += bytes
}

// reserve reserves memory for the connection, if necessary by disconnecting stalled clients.
func (c *connection) reserve(bytes int64, class budget.Class) bool {
	if !c.server.options.Memory.ReserveWithin(bytes, class, reserveWait) {
		return false
	}
	c.hold(bytes)
	return true
}

// release returns reserved bytes.
func (c *connection) release(bytes int64) {
	c.hold(-bytes)
	c.server.options.Memory.Release(bytes)
}

// Package pacing limits long streams between regions to a share of the link, so that short
// requests and control traffic always have bandwidth.
//
// It reads no clock and does not sleep: times are passed in, and waits are returned. A Pacer is
// safe for concurrent use.
package pacing

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// ErrPolicy reports settings that are out of range.
var ErrPolicy = errors.New("invalid pacing policy")

// Policy holds the settings of a Pacer.
type Policy struct {
	// LinkBitsPerSecond is the rate of the link in bits per second in each direction.
	LinkBitsPerSecond float64
	// Share is the fraction of the link that long streams may use, above 0 and below 1.
	Share float64
	// Nodes is the number of nodes in the region that share the link.
	Nodes int
	// UnpacedBytes is the number of bytes up to which a stream counts as short and is not paced.
	UnpacedBytes int
	// ChunkBytes is the largest number of bytes in one Reserve, and the burst of the rate limiter.
	ChunkBytes int
}

// DefaultPolicy returns the settings for a link of 30 Mbit/s shared by the given number of nodes.
func DefaultPolicy(nodes int) Policy {
	return Policy{LinkBitsPerSecond: 30e6, Share: 0.6, Nodes: nodes, UnpacedBytes: 64 << 10, ChunkBytes: 16 << 10}
}

// Pacer divides one node's share of the link among its long streams.
type Pacer struct {
	policy  Policy
	limiter *rate.Limiter
}

// New returns a pacer. It fails with ErrPolicy.
func New(policy Policy) (*Pacer, error) {
	if policy.LinkBitsPerSecond <= 0 || policy.Share <= 0 || policy.Share >= 1 || policy.Nodes < 1 {
		return nil, errors.Wrap(ErrPolicy, "LinkBitsPerSecond and Nodes must be positive, and Share must be between 0 and 1")
	}
	if policy.ChunkBytes < 1 || policy.UnpacedBytes < 0 {
		return nil, errors.Wrap(ErrPolicy, "ChunkBytes must be positive, and UnpacedBytes must not be negative")
	}
	bytesPerSecond := policy.LinkBitsPerSecond / 8 * policy.Share / float64(policy.Nodes)
	return &Pacer{policy: policy, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), policy.ChunkBytes)}, nil
}

// Stream paces the body of one answer to another region.
type Stream struct {
	pacer *Pacer
	sent  int
}

// NewStream returns a new stream.
func (p *Pacer) NewStream() *Stream { return &Stream{pacer: p} }

// ChunkBytes returns the largest number of bytes to pass to one call of Reserve.
func (p *Pacer) ChunkBytes() int { return p.policy.ChunkBytes }

// Reserve reserves n more bytes, at most ChunkBytes, and returns how long to wait before sending
// them. Streams wait in the order of their calls and therefore share the rate evenly.
func (s *Stream) Reserve(now time.Time, n int) time.Duration {
	s.sent += n
	if s.sent <= s.pacer.policy.UnpacedBytes {
		return 0
	}
	return s.pacer.limiter.ReserveN(now, min(n, s.pacer.policy.ChunkBytes)).DelayFrom(now)
}

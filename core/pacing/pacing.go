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
	// LinkBits is the rate of the link in bits per second in each direction.
	LinkBits float64
	// Share is the fraction of the link that long streams may use, above 0 and below 1.
	Share float64
	// Nodes is the number of nodes in the region that share the link.
	Nodes int
	// UnpacedBytes is the number of bytes up to which a stream counts as short and is not paced.
	UnpacedBytes int
	// PieceBytes is the largest number of bytes in one Take, and the burst of the rate limiter.
	PieceBytes int
}

// DefaultPolicy returns the settings for a link of 30 Mbit/s shared by the given number of nodes.
func DefaultPolicy(nodes int) Policy {
	return Policy{LinkBits: 30e6, Share: 0.6, Nodes: nodes, UnpacedBytes: 64 << 10, PieceBytes: 16 << 10}
}

// Pacer divides one node's share of the link among its long streams.
type Pacer struct {
	policy  Policy
	limiter *rate.Limiter
}

// New returns a pacer. It fails with ErrPolicy.
func New(policy Policy) (*Pacer, error) {
	if policy.LinkBits <= 0 || policy.Share <= 0 || policy.Share >= 1 || policy.Nodes < 1 {
		return nil, errors.Wrap(ErrPolicy, "LinkBits and Nodes must be positive, and Share must be between 0 and 1")
	}
	if policy.PieceBytes < 1 || policy.UnpacedBytes < 0 {
		return nil, errors.Wrap(ErrPolicy, "PieceBytes must be positive, and UnpacedBytes must not be negative")
	}
	bytesPerSecond := policy.LinkBits / 8 * policy.Share / float64(policy.Nodes)
	return &Pacer{policy: policy, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), policy.PieceBytes)}, nil
}

// Stream paces the body of one answer to another region.
type Stream struct {
	pacer *Pacer
	sent  int
}

// Stream returns a new stream.
func (p *Pacer) Stream() *Stream { return &Stream{pacer: p} }

// PieceBytes returns the largest number of bytes to pass to one call of Take.
func (p *Pacer) PieceBytes() int { return p.policy.PieceBytes }

// Take reserves n more bytes, at most PieceBytes, and returns how long to wait before sending
// them. Streams wait in the order of their calls and therefore share the rate evenly.
func (s *Stream) Take(now time.Time, n int) time.Duration {
	s.sent += n
	if s.sent <= s.pacer.policy.UnpacedBytes {
		return 0
	}
	return s.pacer.limiter.ReserveN(now, min(n, s.pacer.policy.PieceBytes)).DelayFrom(now)
}

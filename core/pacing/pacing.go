// Package pacing keeps long streams between regions to a share of the link, so that short
// work and control always find room on it.
//
// It is pure: times are passed in, and waits are returned. A Pacer may be used by several
// goroutines.
package pacing

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// ErrPolicy reports settings that a Pacer cannot work with.
var ErrPolicy = errors.New("invalid pacing policy")

// Policy holds the settings of a Pacer.
type Policy struct {
	// LinkBits is the rate of the link in bits per second, each way.
	LinkBits float64
	// Share is the part of the link that long streams may use, above 0 and below 1.
	Share float64
	// Nodes is the number of nodes of the region that share the link.
	Nodes int
	// FreeBytes is the length up to which a stream counts as short and is not paced.
	FreeBytes int
	// PieceBytes is the size of the pieces in which streams take turns.
	PieceBytes int
}

// DefaultPolicy returns the settings for a link of 30 Mbit/s that nodes of them share.
func DefaultPolicy(nodes int) Policy {
	return Policy{LinkBits: 30e6, Share: 0.6, Nodes: nodes, FreeBytes: 64 << 10, PieceBytes: 16 << 10}
}

// Pacer spreads the long streams of one node over its share of the link.
type Pacer struct {
	policy  Policy
	limiter *rate.Limiter
}

// New returns a pacer. It fails with ErrPolicy.
func New(policy Policy) (*Pacer, error) {
	if policy.LinkBits <= 0 || policy.Share <= 0 || policy.Share >= 1 || policy.Nodes < 1 {
		return nil, errors.Wrap(ErrPolicy, "link rate, share or number of nodes is out of bounds")
	}
	if policy.PieceBytes < 1 || policy.FreeBytes < 0 {
		return nil, errors.Wrap(ErrPolicy, "piece and free lengths must be positive")
	}
	bytesPerSecond := policy.LinkBits / 8 * policy.Share / float64(policy.Nodes)
	return &Pacer{policy: policy, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), policy.PieceBytes)}, nil
}

// Stream is one answer on its way to another region.
type Stream struct {
	pacer *Pacer
	sent  int
}

// Stream begins a stream.
func (p *Pacer) Stream() *Stream { return &Stream{pacer: p} }

// PieceBytes returns the largest number of bytes to ask for at a time.
func (p *Pacer) PieceBytes() int { return p.policy.PieceBytes }

// Take returns how long to wait before sending n more bytes, at most PieceBytes. Streams wait in
// the order in which they ask, so they share the rate evenly.
func (s *Stream) Take(now time.Time, n int) time.Duration {
	s.sent += n
	if s.sent <= s.pacer.policy.FreeBytes {
		return 0
	}
	return s.pacer.limiter.ReserveN(now, min(n, s.pacer.policy.PieceBytes)).DelayFrom(now)
}

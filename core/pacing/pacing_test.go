package pacing

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestLongStreamsKeepToTheirShare sends several long streams for ten seconds of simulated time and
// checks that together they use the configured share of the link, evenly divided.
func TestLongStreamsKeepToTheirShare(t *testing.T) {
	policy := DefaultPolicy(4)
	p, err := New(policy)
	if err != nil {
		t.Fatal(err)
	}
	const streams, duration = 5, 10 * time.Second
	start := time.Unix(1_800_000_000, 0)
	var sent [streams]int
	var all [streams]*Stream
	ready := [streams]time.Duration{}
	for i := range all {
		all[i] = p.NewStream()
	}
	// The number of iterations is bounded because an unpaced stream would never reach the end.
	for range 100_000 {
		next := 0
		for i := range ready {
			if ready[i] < ready[next] {
				next = i
			}
		}
		now := ready[next]
		if now >= duration {
			break
		}
		ready[next] = now + all[next].Reserve(start.Add(now), policy.ChunkBytes)
		sent[next] += policy.ChunkBytes
	}
	total := 0
	for i, n := range sent {
		total += n
		if n < sent[0]*9/10 || n > sent[0]*11/10 {
			t.Errorf("stream %d sent %d bytes, the first %d", i, n, sent[0])
		}
	}
	bits := float64(total-streams*policy.UnpacedBytes) * 8 / duration.Seconds()
	share := policy.LinkBitsPerSecond * policy.Share / float64(policy.Nodes)
	t.Logf("long streams used %.2f Mbit/s, their share is %.2f", bits/1e6, share/1e6)
	if bits > share*1.05 || bits < share*0.9 {
		t.Errorf("%.0f bits per second, want about %.0f", bits, share)
	}
}

func TestShortStreamsAreNotPaced(t *testing.T) {
	policy := DefaultPolicy(4)
	p, err := New(policy)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_800_000_000, 0)
	long := p.NewStream()
	for range 100 {
		long.Reserve(now, policy.ChunkBytes)
	}
	if wait := p.NewStream().Reserve(now, policy.UnpacedBytes); wait != 0 {
		t.Errorf("short stream waits %v behind a long one", wait)
	}
}

func TestPolicyIsChecked(t *testing.T) {
	for _, change := range []func(*Policy){
		func(p *Policy) { p.LinkBitsPerSecond = 0 }, func(p *Policy) { p.Share = 1 },
		func(p *Policy) { p.Nodes = 0 }, func(p *Policy) { p.ChunkBytes = 0 },
	} {
		policy := DefaultPolicy(1)
		change(&policy)
		if _, err := New(policy); !errors.Is(err, ErrPolicy) {
			t.Errorf("%+v: got error %v, want ErrPolicy", policy, err)
		}
	}
}

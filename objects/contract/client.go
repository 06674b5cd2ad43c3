package contract

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/client"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

const (
	// ampleCallsPerSecond is a call budget that these tests do not exhaust.
	ampleCallsPerSecond = 10_000
	shortBackoff        = 5 * time.Millisecond
)

// client returns a client of the store that pauses for about backoff between attempts.
func (s *fixture) client(backoff time.Duration) *client.Client {
	return client.New(s.Store, client.Options{
		CallsPerSecond: ampleCallsPerSecond,
		AttemptTimeout: shortTimeout,
		FirstBackoff:   backoff,
		MaxBackoff:     backoff,
	})
}

// runClient checks that package client masks the transient errors that single calls return in
// runFaults, and reports the remaining ones correctly.
func runClient(t *testing.T, open OpenFunc) {
	t.Run("writes", func(t *testing.T) { runClientWrites(t, open) })
	t.Run("watch", func(t *testing.T) { runClientWatch(t, open) })
}

func runClientWrites(t *testing.T, open OpenFunc) {
	rows := []struct {
		name   string
		faults memstore.Faults
		// healAfter is when the fault is removed; zero means after the call has returned.
		healAfter time.Duration
		// timeout bounds the write.
		timeout time.Duration
		// backoff is the pause between attempts; if it exceeds timeout, the deadline passes between
		// two attempts.
		backoff time.Duration
		want    error
		// takesEffect tells that the write takes effect, exactly once.
		takesEffect bool
	}{
		{name: "none", timeout: callTimeout, takesEffect: true},
		{name: "response lost", faults: memstore.Faults{LoseNextResponses: 1}, timeout: callTimeout, takesEffect: true},
		{name: "two responses lost", faults: memstore.Faults{LoseNextResponses: 2}, timeout: callTimeout, takesEffect: true},
		{name: "every response lost", faults: memstore.Faults{LoseResponseRate: 1}, timeout: callTimeout, takesEffect: true},
		{name: "down for a while", faults: memstore.Faults{Down: true}, healAfter: shortTimeout, timeout: callTimeout, takesEffect: true},
		{
			name: "down", faults: memstore.Faults{Down: true}, timeout: 2 * shortTimeout, backoff: 8 * shortTimeout,
			want: objects.ErrUnavailable,
		},
		{name: "slower than the first attempt", faults: memstore.Faults{Delay: 2 * shortTimeout}, timeout: callTimeout, takesEffect: true},
		{name: "delayed for longer than an attempt", faults: memstore.Faults{DelayWrites: 4 * shortTimeout}, timeout: callTimeout, takesEffect: true},
		{
			name: "delayed for longer than the call", faults: memstore.Faults{DelayWrites: 8 * shortTimeout}, timeout: 2 * shortTimeout,
			want: objects.ErrUnknownOutcome, takesEffect: true,
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newFixture(t, open)
			c := s.client(max(row.backoff, shortBackoff))
			v := s.put("a", "before", 0, nil)
			s.SetFaults(row.faults)
			if row.healAfter > 0 {
				time.AfterFunc(row.healAfter, func() { s.SetFaults(memstore.Faults{}) })
			}
			written, err := c.Put(s.context(row.timeout), "a", []byte("after"), v, "after")
			s.wantError("put", err, row.want)
			s.SetFaults(memstore.Faults{})
			if !row.takesEffect {
				s.wantObject("a", "before", v)
				return
			}
			s.eventually("the write takes effect", func() bool { return s.value("a") == "after" })
			if err == nil {
				s.wantObject("a", "after", written)
			}
			// Delayed attempts must not take effect a second time.
			time.Sleep(row.faults.DelayWrites)
			s.wantObject("a", "after", v+1)
		})
	}
}

func runClientWatch(t *testing.T, open OpenFunc) {
	rows := []struct {
		name   string
		faults memstore.Faults
	}{
		{"no fault", memstore.Faults{}},
		{"broken for a while", memstore.Faults{WatchBroken: true}},
		{"down for a while", memstore.Faults{Down: true}},
		{"stale for a while", memstore.Faults{StaleWatch: true}},
		{"slow", memstore.Faults{Delay: shortTimeout / 10}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { watchDuringFault(newFixture(t, open), row.faults) })
	}
	t.Run("changes dropped from the history", func(t *testing.T) { watchAcrossGap(newFixture(t, open)) })
}

// watchDuringFault writes before, during and after the fault. The watch must deliver each version
// once and in order.
func watchDuringFault(s *fixture, faults memstore.Faults) {
	const writes = 10
	r := s.startRecorder()
	var last objects.Version
	write := func() {
		for i := range writes {
			last = s.put("a", strconv.Itoa(i), last, nil)
		}
	}
	write()
	r.waitFor(last)
	s.SetFaults(faults)
	if !faults.Down {
		write()
	}
	time.Sleep(shortTimeout)
	s.SetFaults(memstore.Faults{})
	write()
	r.waitFor(last)
	r.checkVersions(true)
}

// watchAcrossGap makes more changes than the store keeps while the watch is broken.
func watchAcrossGap(s *fixture) {
	r := s.startRecorder()
	last := s.put("a", "first", 0, nil)
	r.waitFor(last)
	s.SetFaults(memstore.Faults{WatchBroken: true})
	for i := range History + 10 {
		last = s.put("a", strconv.Itoa(i), last, nil)
	}
	s.SetFaults(memstore.Faults{})
	r.waitFor(last)
	r.checkVersions(false)
}

// recorder records the versions delivered by a watch.
type recorder struct {
	s        *fixture
	mu       sync.Mutex
	versions []objects.Version
}

// startRecorder starts a watch that is stopped at the end of the test.
func (s *fixture) startRecorder() *recorder {
	ctx, cancel := context.WithCancel(context.Background())
	r := &recorder{s: s}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.client(shortBackoff).Watch(ctx, "a", r.deliver)
	}()
	s.Cleanup(func() {
		cancel()
		<-ended
	})
	return r
}

func (r *recorder) deliver(batch objects.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, event := range batch.Events {
		r.versions = append(r.versions, event.Object.Version)
	}
}

func (r *recorder) waitFor(version objects.Version) {
	r.s.Helper()
	r.s.eventually("the watch delivers the last version", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.versions) > 0 && r.versions[len(r.versions)-1] == version
	})
}

// checkVersions fails if a version is not greater than the one before and, if gapless is set, if
// one is missing.
func (r *recorder) checkVersions(gapless bool) {
	r.s.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := 1; i < len(r.versions); i++ {
		step := r.versions[i] - r.versions[i-1]
		if step <= 0 || gapless && step != 1 {
			r.s.Fatalf("versions delivered: %v", r.versions)
		}
	}
}

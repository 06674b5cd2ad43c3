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
	// generous is a call budget that these tests do not exhaust.
	generous = 10_000
	brief    = 5 * time.Millisecond
)

// client returns a client of the store whose backoff is about pause.
func (s *session) client(pause time.Duration) *client.Client {
	return client.New(s.Store, client.Options{
		CallsPerSecond: generous,
		AttemptTimeout: short,
		FirstBackoff:   pause,
		MaxBackoff:     pause,
	})
}

// runClient checks that package client masks the transient errors that single calls return in
// runFaults, and reports the remaining ones correctly.
func runClient(t *testing.T, open Open) {
	t.Run("writes", func(t *testing.T) { runClientWrites(t, open) })
	t.Run("watch", func(t *testing.T) { runClientWatch(t, open) })
}

func runClientWrites(t *testing.T, open Open) {
	rows := []struct {
		name   string
		faults memstore.Faults
		// heal is when the fault is removed; zero means after the call has returned.
		heal time.Duration
		// time is the timeout of the write.
		time time.Duration
		// pause is the backoff; if it is longer than time, the deadline passes between two attempts.
		pause time.Duration
		want  error
		// effect tells that the write takes effect, exactly once.
		effect bool
	}{
		{name: "none", time: deadline, effect: true},
		{name: "response lost", faults: memstore.Faults{LoseNext: 1}, time: deadline, effect: true},
		{name: "two responses lost", faults: memstore.Faults{LoseNext: 2}, time: deadline, effect: true},
		{name: "every response lost", faults: memstore.Faults{LoseShare: 1}, time: deadline, effect: true},
		{name: "down for a while", faults: memstore.Faults{Down: true}, heal: short, time: deadline, effect: true},
		{
			name: "down", faults: memstore.Faults{Down: true}, time: 2 * short, pause: 8 * short,
			want: objects.ErrUnavailable,
		},
		{name: "slower than the first attempt", faults: memstore.Faults{Delay: 2 * short}, time: deadline, effect: true},
		{name: "delayed for longer than an attempt", faults: memstore.Faults{DelayWrites: 4 * short}, time: deadline, effect: true},
		{
			name: "delayed for longer than the call", faults: memstore.Faults{DelayWrites: 8 * short}, time: 2 * short,
			want: objects.ErrUnknownOutcome, effect: true,
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSession(t, open)
			c := s.client(max(row.pause, brief))
			v := s.put("a", "before", 0, nil)
			s.SetFaults(row.faults)
			if row.heal > 0 {
				time.AfterFunc(row.heal, func() { s.SetFaults(memstore.Faults{}) })
			}
			written, err := c.Put(s.context(row.time), "a", []byte("after"), v, "after")
			s.wantError("put", err, row.want)
			s.SetFaults(memstore.Faults{})
			if !row.effect {
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

func runClientWatch(t *testing.T, open Open) {
	rows := []struct {
		name   string
		faults memstore.Faults
	}{
		{"no fault", memstore.Faults{}},
		{"broken for a while", memstore.Faults{WatchBroken: true}},
		{"down for a while", memstore.Faults{Down: true}},
		{"stale for a while", memstore.Faults{StaleWatch: true}},
		{"slow", memstore.Faults{Delay: short / 10}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { watchThrough(newSession(t, open), row.faults) })
	}
	t.Run("changes dropped from the history", func(t *testing.T) { watchOverGap(newSession(t, open)) })
}

// watchThrough writes before, during and after the fault. The watch must deliver each version once
// and in order.
func watchThrough(s *session, faults memstore.Faults) {
	const writes = 10
	r := s.record()
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
	time.Sleep(short)
	s.SetFaults(memstore.Faults{})
	write()
	r.waitFor(last)
	r.check(true)
}

// watchOverGap makes more changes than the store keeps while the watch is broken.
func watchOverGap(s *session) {
	r := s.record()
	last := s.put("a", "first", 0, nil)
	r.waitFor(last)
	s.SetFaults(memstore.Faults{WatchBroken: true})
	for i := range History + 10 {
		last = s.put("a", strconv.Itoa(i), last, nil)
	}
	s.SetFaults(memstore.Faults{})
	r.waitFor(last)
	r.check(false)
}

// recorder records the versions delivered by a watch.
type recorder struct {
	s        *session
	mu       sync.Mutex
	versions []objects.Version
}

// record starts a watch that is stopped at the end of the test.
func (s *session) record() *recorder {
	ctx, cancel := context.WithCancel(context.Background())
	r := &recorder{s: s}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.client(brief).Watch(ctx, "a", r.deliver)
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

// check fails if a version is not greater than the one before and, if whole is set, if one is missing.
func (r *recorder) check(whole bool) {
	r.s.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := 1; i < len(r.versions); i++ {
		step := r.versions[i] - r.versions[i-1]
		if step <= 0 || whole && step != 1 {
			r.s.Fatalf("versions delivered: %v", r.versions)
		}
	}
}

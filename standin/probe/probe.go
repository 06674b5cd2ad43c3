// Package probe measures how long keys go unserved. It books each key at a fixed rate
// through changing nodes and keeps the times of the answers.
//
// Locks: Prober.mu guards the results and is held for one append.
package probe

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// Config says what a Prober sends.
type Config struct {
	// Entries are the URLs of nodes, used in turn.
	Entries []string
	Service string
	Keys    []string
	// Every is the time between two probes of one key.
	Every time.Duration
	// Deadline is how long a probe waits for its answer.
	Deadline time.Duration
}

// Counts are the probes by the outcome that the caller saw.
type Counts struct {
	Answered int
	NotRun   int
	Unknown  int
	// Unreachable counts probes whose entry node refused the connection, Cut those whose
	// connection broke or gave no answer in time.
	Unreachable int
	Cut         int
}

// Prober sends probes until it is stopped.
type Prober struct {
	config Config
	http   http.Client
	cancel context.CancelFunc
	loops  sync.WaitGroup
	calls  sync.WaitGroup

	mu      sync.Mutex
	counts  Counts
	reasons map[string]int
	served  map[string][]time.Time
	targets map[string]string
}

// Start begins probing.
func Start(config Config) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{
		config:  config,
		cancel:  cancel,
		reasons: map[string]int{},
		served:  map[string][]time.Time{},
		targets: map[string]string{},
	}
	// A kept connection may be closed by the node while a probe is on its way.
	p.http.Transport = &http.Transport{DisableKeepAlives: true}
	p.http.Timeout = config.Deadline + time.Second
	for i, key := range config.Keys {
		p.loops.Go(func() { p.loop(ctx, i, key) })
	}
	return p
}

// Stop ends probing and waits for the answers on the way.
func (p *Prober) Stop() {
	p.cancel()
	p.loops.Wait()
	p.calls.Wait()
	p.http.CloseIdleConnections()
}

func (p *Prober) loop(ctx context.Context, offset int, key string) {
	select {
	case <-time.After(p.config.Every * time.Duration(offset) / time.Duration(len(p.config.Keys))):
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(p.config.Every)
	defer ticker.Stop()
	for n := offset; ; n++ {
		entry := p.config.Entries[n%len(p.config.Entries)]
		p.calls.Go(func() { p.book(entry, key) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) book(entry, key string) {
	target := entry + "/v1/" + p.config.Service + "/" + url.PathEscape(key)
	request, err := http.NewRequest(http.MethodPost, target, nil)
	if err != nil {
		panic(err) // entries and keys come from the program itself
	}
	request.Header.Set("Auburnrelay-Request-Id", ulid.Make().String())
	request.Header.Set("Auburnrelay-Send", "1")
	request.Header.Set("Auburnrelay-Deadline-Ms", strconv.FormatInt(p.config.Deadline.Milliseconds(), 10))
	resp, err := p.http.Do(request)
	if err != nil {
		p.note(func() { p.countError(err) })
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	p.note(func() { p.count(key, resp, err) })
}

func (p *Prober) note(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// countError records a probe without an answer; the caller holds mu.
func (p *Prober) countError(err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.counts.Unreachable++
		return
	}
	p.counts.Cut++
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		p.reasons["cut: no answer in time"]++
		return
	}
	p.reasons["cut: connection broke"]++
}

// count records one answer; the caller holds mu.
func (p *Prober) count(key string, resp *http.Response, err error) {
	outcome := resp.Header.Get("Auburnrelay-Outcome")
	switch {
	case err == nil && outcome == "answered":
		p.counts.Answered++
		p.served[key] = append(p.served[key], time.Now())
		p.targets[key] = resp.Header.Get("Auburnrelay-Target")
	case err == nil && outcome == "not-run":
		p.counts.NotRun++
		p.reasons["not-run "+resp.Header.Get("Auburnrelay-Reason")]++
	default:
		p.counts.Unknown++
		p.reasons["unknown "+resp.Header.Get("Auburnrelay-Reason")]++
	}
}

// Counts returns the probes so far by outcome.
func (p *Prober) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Reasons returns how often each reason was given, keyed by outcome and reason.
func (p *Prober) Reasons() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	reasons := make(map[string]int, len(p.reasons))
	for reason, n := range p.reasons {
		reasons[reason] = n
	}
	return reasons
}

// KeysAt returns the keys that the named target answered last.
func (p *Prober) KeysAt(target string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for key, at := range p.targets {
		if at == target {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Gaps returns, for each of the keys, the longest time between two answers that ends after
// from, sorted. A key that is still unserved counts up to now. No keys stand for all.
func (p *Prober) Gaps(from time.Time, keys ...string) []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(keys) == 0 {
		keys = p.config.Keys
	}
	now := time.Now()
	gaps := make([]time.Duration, 0, len(keys))
	for _, key := range keys {
		gaps = append(gaps, longestGap(p.served[key], from, now))
	}
	slices.Sort(gaps)
	return gaps
}

func longestGap(served []time.Time, from, now time.Time) time.Duration {
	var longest time.Duration
	last := from
	for _, at := range served {
		if at.After(from) {
			longest = max(longest, at.Sub(last))
		}
		last = at
	}
	return max(longest, now.Sub(last))
}

// ServedSince returns the number of keys answered after from.
func (p *Prober) ServedSince(from time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, served := range p.served {
		if len(served) > 0 && served[len(served)-1].After(from) {
			n++
		}
	}
	return n
}

// Package probe measures how long keys go unserved. It sends requests for each key at a fixed rate,
// through each node in turn, and records the times of the answers.
//
// Lock order: Prober.mu is the only lock and guards the results. No request is sent under it.
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

// Config describes the requests that a Prober sends.
type Config struct {
	// Entries are the entry URLs of the nodes, used in turn.
	Entries []string
	Service string
	Keys    []string
	// Interval is the interval between two probes of a key.
	Interval time.Duration
	// Deadline is the deadline sent with each probe. A probe without an answer a second later counts as
	// Broken.
	Deadline time.Duration
}

// Counts holds the numbers of probes by the outcome that the caller saw.
type Counts struct {
	Answered int
	NotRun   int
	// Unknown also counts probes whose connection broke within the response body.
	Unknown int
	// Unreachable counts probes whose entry node refused the connection. Broken counts those whose
	// connection broke before a response, or brought none in time.
	Unreachable int
	Broken      int
}

// Prober sends probes until it is stopped.
type Prober struct {
	config Config
	http   http.Client
	cancel context.CancelFunc
	loops  sync.WaitGroup
	calls  sync.WaitGroup

	mu         sync.Mutex
	counts     Counts
	reasons    map[string]int
	answeredAt map[string][]time.Time
	lastTarget map[string]string
}

// Start starts a Prober. The first probes of the keys are spread over one interval.
func Start(config Config) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{
		config:     config,
		cancel:     cancel,
		reasons:    map[string]int{},
		answeredAt: map[string][]time.Time{},
		lastTarget: map[string]string{},
	}
	// A node may close an idle connection just as a probe is sent on it, which would count as
	// Broken.
	p.http.Transport = &http.Transport{DisableKeepAlives: true}
	p.http.Timeout = config.Deadline + time.Second
	for i, key := range config.Keys {
		p.loops.Go(func() { p.probeLoop(ctx, i, key) })
	}
	return p
}

// Stop sends no more probes and waits for the answers to those already sent.
func (p *Prober) Stop() {
	p.cancel()
	p.loops.Wait()
	p.calls.Wait()
	p.http.CloseIdleConnections()
}

// probeLoop sends a probe of the key in each interval. The offset delays the first and selects its entry.
func (p *Prober) probeLoop(ctx context.Context, offset int, key string) {
	select {
	case <-time.After(p.config.Interval * time.Duration(offset) / time.Duration(len(p.config.Keys))):
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(p.config.Interval)
	defer ticker.Stop()
	for n := offset; ; n++ {
		entry := p.config.Entries[n%len(p.config.Entries)]
		p.calls.Go(func() { p.sendProbe(entry, key) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendProbe sends one probe and records its result.
func (p *Prober) sendProbe(entry, key string) {
	requestURL := entry + "/v1/" + p.config.Service + "/" + url.PathEscape(key)
	request, err := http.NewRequest(http.MethodPost, requestURL, nil)
	if err != nil {
		panic(err) // entries and keys come from the program itself
	}
	request.Header.Set("Auburnrelay-Request-Id", ulid.Make().String())
	request.Header.Set("Auburnrelay-Send", "1")
	request.Header.Set("Auburnrelay-Deadline-Ms", strconv.FormatInt(p.config.Deadline.Milliseconds(), 10))
	resp, err := p.http.Do(request)
	if err != nil {
		p.update(func() { p.countError(err) })
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	p.update(func() { p.count(key, resp, err) })
}

// update changes the results under mu.
func (p *Prober) update(change func()) {
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
	p.counts.Broken++
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		p.reasons["broken: no answer in time"]++
		return
	}
	p.reasons["broken: connection broke"]++
}

// count records one answer; the caller holds mu.
func (p *Prober) count(key string, resp *http.Response, err error) {
	outcome := resp.Header.Get("Auburnrelay-Outcome")
	switch {
	case err == nil && outcome == "answered":
		p.counts.Answered++
		p.answeredAt[key] = append(p.answeredAt[key], time.Now())
		p.lastTarget[key] = resp.Header.Get("Auburnrelay-Target")
	case err == nil && outcome == "not-run":
		p.counts.NotRun++
		p.reasons["not-run "+resp.Header.Get("Auburnrelay-Reason")]++
	default:
		p.counts.Unknown++
		p.reasons["unknown "+resp.Header.Get("Auburnrelay-Reason")]++
	}
}

// Counts returns the numbers of completed probes by outcome.
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

// KeysAnsweredBy returns the keys whose last answer came from the named target, sorted.
func (p *Prober) KeysAnsweredBy(target string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for key, answeredBy := range p.lastTarget {
		if answeredBy == target {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Gaps returns the longest gap of each of the keys, or of all keys if none are given, in ascending order. A
// gap is the time between two consecutive answers, the later of which came after from. The first gap of a
// key that was never answered before starts at from, and the last gap of each key ends now.
func (p *Prober) Gaps(from time.Time, keys ...string) []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(keys) == 0 {
		keys = p.config.Keys
	}
	now := time.Now()
	gaps := make([]time.Duration, 0, len(keys))
	for _, key := range keys {
		gaps = append(gaps, longestGap(p.answeredAt[key], from, now))
	}
	slices.Sort(gaps)
	return gaps
}

// longestGap returns the longest gap of one key, as defined at Gaps.
func longestGap(answeredAt []time.Time, from, now time.Time) time.Duration {
	var longest time.Duration
	last := from
	for _, at := range answeredAt {
		if at.After(from) {
			longest = max(longest, at.Sub(last))
		}
		last = at
	}
	return max(longest, now.Sub(last))
}

// ServedSince returns the number of keys with an answer after from.
func (p *Prober) ServedSince(from time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, answeredAt := range p.answeredAt {
		if len(answeredAt) > 0 && answeredAt[len(answeredAt)-1].After(from) {
			n++
		}
	}
	return n
}

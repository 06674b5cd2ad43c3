package sidecar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// stopConfigText is configText with timeouts that reach from the start of a stop nearly to its end, and with a route for
// requests of the shared service that may run only once.
const stopConfigText = `{"version":"%08x","limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":"a.example","rules":[
{"name":"book","kind":"non_idempotent","slo-s":0.3,"priority":1,"match":{"path-prefix":"/book/"},"action":{"service":"k","timeout-s":4,"attempts":2}},
{"name":"look","kind":"idempotent","slo-s":0.3,"priority":2,"match":{"path-prefix":"/look/"},"action":{"service":"k","timeout-s":4,"attempts":2}},
{"name":"order","kind":"non_idempotent","slo-s":0.3,"priority":1,"match":{"path-prefix":"/order/"},"action":{"service":"s","timeout-s":4,"attempts":2}},
{"name":"read","kind":"idempotent","slo-s":0.3,"priority":2,"match":{"path-prefix":"/read/"},"action":{"service":"s","timeout-s":4,"attempts":2}}]}],
"clusters":[{"name":"k","health-path":"/healthz","max-conns":110,"sharded":true},{"name":"s","health-path":"/healthz","max-conns":110}]}`

const (
	// stopLength is the time from the request to stop until a node cuts what is at work (settingsText).
	stopLength = 5700 * time.Millisecond
	// A request that a node takes from its caller in the first earlyInStop of its stop may be cut by the end of the stop if
	// it is at work then, from lateInStop on: its work was not known, and refusing it early would have been worse.
	earlyInStop = 3 * time.Second
	lateInStop  = 5 * time.Second
	// callersLeave is when the callers of a stopping node have noticed that it is not ready: two checks, one second apart.
	callersLeave = 2 * time.Second
	// deadlineReserve is left between the end of a request's work and its deadline, for its way and for a busy machine.
	deadlineReserve = 500 * time.Millisecond
	// workHeader tells a target for how long it works on a request, in milliseconds.
	workHeader = "X-Work-Ms"
)

// serveWork answers after the time in workHeader. The answer is sent in parts meanwhile if the path asks for it.
func serveWork(w http.ResponseWriter, r *http.Request) {
	// The connection is watched for the node's abort only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	ms, _ := strconv.Atoi(r.Header.Get(workHeader))
	w.Header().Set("X-Response-Seal", "sealed")
	parts := 1
	if strings.HasSuffix(r.URL.Path, "/streamed") {
		parts = 10
	}
	for range parts {
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond / time.Duration(parts)):
		case <-r.Context().Done():
			return
		}
		if parts > 1 {
			_, _ = w.Write(make([]byte, 20<<10))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// keepingClient keeps its connections to all nodes until they close them.
var keepingClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// stopRequest is a request in the test of stops, and what became of it.
type stopRequest struct {
	id, method, path string
	key, bodyBytes   int
	timeout, work    time.Duration
	// keeps is set if the connection is kept for further requests.
	keeps  bool
	sentAt time.Time
	took   time.Duration
	// node is the node to which the request was sent.
	node *node
	// status is zero if there was no complete answer; text is the answer or the error.
	status int
	text   string
	// refusedConnection is set if the node did not listen any more.
	refusedConnection bool
}

func (r *stopRequest) send(s *deployment, n *node) {
	r.id = fmt.Sprintf("id-%d", s.lastID.Add(1))
	r.node, r.sentAt = n, time.Now()
	defer func() { r.took = time.Since(r.sentAt) }()
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout+2*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, r.method, "http://"+n.callers+r.path, strings.NewReader(strings.Repeat("x", r.bodyBytes)))
	request.Host, request.Close = "a.example", !r.keeps
	request.Header.Set("X-Attempt-Id", r.id)
	request.Header.Set("X-Timeout-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	request.Header.Set(workHeader, strconv.FormatInt(r.work.Milliseconds(), 10))
	if r.key >= 0 {
		request.Header.Set("X-Shard-Key", strconv.Itoa(r.key))
	}
	response, err := keepingClient.Do(request)
	if err != nil {
		r.text, r.refusedConnection = err.Error(), errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		r.text = err.Error()
		return
	}
	r.status = response.StatusCode
	if r.status != http.StatusOK {
		r.text = strings.TrimSpace(string(text))
	}
}

// violation returns which guarantee the outcome of the request breaks, given how often it ran, when the first nodes began
// to stop, and when that of its caller did; empty if none.
func (r *stopRequest) violation(runs int, firstStop, callersStop time.Time) string {
	endsBeforeNode := r.sentAt.Add(r.timeout + deadlineReserve).Before(firstStop.Add(stopLength))
	atWorkAtTheEnd := r.sentAt.Before(callersStop.Add(earlyInStop)) && r.sentAt.Add(r.took).After(callersStop.Add(lateInStop))
	switch {
	case r.status == http.StatusOK, r.refusedConnection, r.took >= r.timeout:
		return ""
	case r.status == 0 && runs == 0 && r.sentAt.After(callersStop.Add(callersLeave)):
		// The request crossed the close of the callers' listener. Callers send it again, since it was not read.
		return ""
	case r.status == http.StatusServiceUnavailable && runs > 0:
		return "has run, but was refused"
	case r.status == http.StatusServiceUnavailable && r.text == "stopping" && endsBeforeNode:
		return "refused although it ends before the node"
	case r.status != http.StatusServiceUnavailable && !atWorkAtTheEnd:
		return "cut"
	}
	return ""
}

// stopSchedule is one stop of a node that owns keys and of one of a shared service, with requests of their own callers and
// of those of a third node.
type stopSchedule struct {
	// gap is the time until the third node stops, too; negative if it does not.
	gap time.Duration
	// longestWork bounds the work of a request.
	longestWork time.Duration
	random      *rand.Rand
}

func newStopSchedule(seed uint64) stopSchedule {
	random := rand.New(rand.NewPCG(seed, 0))
	s := stopSchedule{gap: -1, longestWork: 100*time.Millisecond + time.Duration(random.Int64N(int64(3400*time.Millisecond))), random: random}
	if random.IntN(3) > 0 {
		s.gap = time.Second + time.Duration(random.Int64N(int64(3*time.Second)))
	}
	return s
}

// pause returns the time between two requests. It keeps about 12 of the 32 slots of the targets in use.
func (s *stopSchedule) pause() time.Duration { return s.longestWork / 24 }

// request returns a random request; its work ends before its deadline.
func (s *stopSchedule) request() *stopRequest {
	key := s.random.IntN(65536)
	kinds := []stopRequest{
		{method: http.MethodPost, path: "/book/x", key: key},
		{method: http.MethodPost, path: "/book/upload", key: key, bodyBytes: 200 << 10},
		{method: http.MethodGet, path: "/look/x", key: key},
		{method: http.MethodGet, path: "/look/streamed", key: key},
		{method: http.MethodPost, path: "/order/x", key: -1},
		{method: http.MethodPost, path: "/order/upload", key: -1, bodyBytes: 200 << 10},
		{method: http.MethodGet, path: "/read/x", key: -1},
		{method: http.MethodGet, path: "/read/streamed", key: -1},
	}
	r := kinds[s.random.IntN(len(kinds))]
	r.keeps = s.random.IntN(2) == 0
	r.work = time.Duration(s.random.Int64N(int64(s.longestWork)))
	shortest := r.work + deadlineReserve
	r.timeout = shortest + time.Duration(s.random.Int64N(int64(4*time.Second-shortest)))
	return &r
}

// TestStoppingNodeTakesOnlyWhatEndsBeforeIt guards against requests that a stopping node takes, above all from other nodes,
// and cuts when its process ends, and against early refusals of those that end before it. The gap between the stops and the work
// vary with the seed: STOP_SEEDS seeds from STOP_SEED on.
func TestStoppingNodeTakesOnlyWhatEndsBeforeIt(t *testing.T) {
	first, count := uint64(1), uint64(8)
	if text := os.Getenv("STOP_SEED"); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
	}
	if text := os.Getenv("STOP_SEEDS"); text != "" {
		count, _ = strconv.ParseUint(text, 10, 64)
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			newStopSchedule(seed).play(t)
		})
	}
}

func (s stopSchedule) play(t *testing.T) {
	d := newDeploymentOf(t, stopConfigText, settingsText, "k", "s", "k", "s")
	d.awaitServed(15*time.Second, d.nodes...)
	for _, n := range d.nodes {
		n.target.work = serveWork
	}
	owner, shared, entry := d.nodes[0], d.nodes[1], d.nodes[2]
	var mu sync.Mutex
	var requests []*stopRequest
	var group sync.WaitGroup
	send := func(n *node, r *stopRequest) {
		group.Go(func() {
			r.send(d, n)
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, r)
		})
	}
	began := time.Now()
	owner.daemon.Stop()
	shared.daemon.Stop()
	stops := map[*node]time.Time{owner: began, shared: began}
	if s.gap >= 0 {
		stops[entry] = began.Add(s.gap)
	}
	// Work for callers of the stopping nodes keeps their processes until the end of the stop.
	keepBusy := func() {
		for _, n := range []*node{owner, shared} {
			for range 2 {
				r := &stopRequest{method: http.MethodGet, path: "/read/long", key: -1, work: 3200 * time.Millisecond, timeout: 4 * time.Second}
				send(n, r)
			}
		}
	}
	time.AfterFunc(2100*time.Millisecond, keepBusy)
	if s.gap >= 0 {
		time.AfterFunc(s.gap, entry.daemon.Stop)
	}
	for time.Since(began) < stopLength {
		to := entry
		if time.Since(began) < callersLeave {
			to = []*node{entry, owner, shared}[s.random.IntN(3)]
		}
		send(to, s.request())
		time.Sleep(s.pause())
	}
	group.Wait()
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	counts := map[string]int{}
	for _, r := range requests {
		end := strconv.Itoa(r.status)
		if r.status == http.StatusServiceUnavailable {
			end += " " + r.text
		}
		counts[end]++
		if v := r.violation(d.recorder.executions[r.id], began, stops[r.node]); v != "" {
			t.Errorf("%s %s to %s with work of %v and %v left, sent %v after the first stop began: %s: status %d, %q after %v, ran %d times", r.method,
				r.path, r.node.name, r.work, r.timeout, r.sentAt.Sub(began), v, r.status, r.text, r.took, d.recorder.executions[r.id])
		}
	}
	t.Logf("gap %v, work up to %v, %d requests: %v", s.gap, s.longestWork, len(requests), counts)
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/auburnrelay/auburnrelay/platform/body"
)

const (
	// sliceKeys is the number of keys in the unit in which the record of holders is kept.
	sliceKeys  = 64
	sliceCount = 1024
	// workTime is the time that a backend takes for a request.
	workTime = 30 * time.Millisecond
)

// interval is a time in which a backend held a slice.
type interval struct {
	backend    string
	fence      int64
	from, till time.Time
}

// holdings records which backend held which slice when. It is the same for all backends of a service.
type holdings struct {
	mu     sync.Mutex
	closed [sliceCount][]interval
	open   [sliceCount]map[string]*interval
}

// backend is a server of the platform's pages: it sends heartbeats to the node on its VM, holds the keys
// that it is granted, and serves requests.
type backend struct {
	id, service string
	node        *node
	address     string
	born        int64
	holdings    *holdings
	record      *record
	listener    net.Listener
	server      *http.Server
	ended       chan struct{}
	stopOnce    sync.Once
	// work is the time that a request takes.
	work time.Duration

	mu    sync.Mutex
	seq   int64
	holds [sliceCount]int64
	until time.Time
	freed [][3]any
	runs  map[string]int
	// beating is cleared to stop the heartbeats.
	beating bool
}

// startBackend starts a backend beside the node; h is nil for a shared service.
func startBackend(n *node, id string, h *holdings) *backend {
	b := &backend{
		id: id, service: n.service, node: n, holdings: h, record: n.cluster.record, ended: make(chan struct{}),
		runs: map[string]int{}, beating: true, work: workTime,
	}
	l, err := net.Listen("tcp", loopbackIP()+":0")
	must(err)
	b.listener, b.address, b.born = l, l.Addr().String(), time.Now().UnixMilli()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(l) }()
	b.record.printf("%s: backend of %s started at %s, born %d", b.id, b.service, b.address, b.born)
	go b.beatLoop()
	return b
}

// crash ends the backend abruptly.
func (b *backend) crash() {
	b.stopOnce.Do(func() {
		close(b.ended)
		_ = b.server.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.setHolds([sliceCount]int64{}, time.Time{}, time.Now())
		b.record.printf("%s: backend ended", b.id)
	})
}

func (b *backend) isUp() bool {
	select {
	case <-b.ended:
		return false
	default:
		return true
	}
}

func (b *backend) beatLoop() {
	for b.isUp() {
		b.mu.Lock()
		beating := b.beating
		b.mu.Unlock()
		pause := heartbeatInterval
		if beating && b.beat() {
			pause = 50 * time.Millisecond
		}
		select {
		case <-b.ended:
		case <-time.After(pause):
		}
	}
}

// rows returns the held slices as rows; adjacent slices with the same fencing token are one row. The caller
// holds the lock.
func (b *backend) rows() [][3]int64 {
	rows := [][3]int64{}
	for i, fence := range b.holds {
		if fence == 0 {
			continue
		}
		from, to := int64(i*sliceKeys), int64((i+1)*sliceKeys-1)
		if n := len(rows); n > 0 && rows[n-1][1]+1 == from && rows[n-1][2] == fence {
			rows[n-1][1] = to
			continue
		}
		rows = append(rows, [3]int64{from, to, fence})
	}
	return rows
}

// beat sends one heartbeat and reports whether the answer made the backend release keys.
func (b *backend) beat() bool {
	b.mu.Lock()
	b.seq++
	b.expire(time.Now())
	freed := b.freed
	message := map[string]any{
		"addr": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": "z", "slots": 6},
		"status": map[string]any{"state": "ready", "seq": b.seq, "cold-left-s": 0},
		"holds":  b.rows(), "freed": freed,
	}
	b.mu.Unlock()
	sent := time.Now()
	answer, err := sendBeat(b.node.control, b.id, message)
	if err != nil || !b.isUp() {
		b.record.printf("%s: heartbeat failed: %v", b.id, err)
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freed = b.freed[len(freed):]
	if answer.Holds == nil {
		return false
	}
	return b.accept(*answer.Holds, sent.Add(time.Duration(answer.HoldS*float64(time.Second))))
}

// beatAnswer is the answer to a heartbeat.
type beatAnswer struct {
	Holds *[][4]any `json:"holds"`
	HoldS float64   `json:"hold-s"`
}

func sendBeat(control, id string, message any) (beatAnswer, error) {
	var answer beatAnswer
	data, err := callControl(control, "instances.heartbeat", id, message)
	if err != nil {
		return answer, err
	}
	if len(data) > 4096 {
		return answer, fmt.Errorf("answer of %d bytes", len(data))
	}
	text, err := body.CBOR.ToJSON(data)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(text, &answer)
}

// callControl makes one call of the platform's pages at a node's control address.
func callControl(control, call, id string, message any) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	data, err := body.CBOR.FromJSON(text)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+control+"/rpc?call="+call+"&of="+id, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", body.CBOR.ContentType())
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err = io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(data))
	}
	return data, err
}

// expire drops the keys of an expired grant. The caller holds the lock.
func (b *backend) expire(now time.Time) {
	if !b.until.IsZero() && now.After(b.until) {
		b.setHolds([sliceCount]int64{}, time.Time{}, b.until)
	}
}

// accept takes over the granted rows, and releases the other keys. It reports whether any were released. The
// caller holds the lock.
func (b *backend) accept(rows [][4]any, until time.Time) bool {
	var holds [sliceCount]int64
	for _, row := range rows {
		from, to, fence := int(row[0].(float64)), int(row[1].(float64)), int64(row[2].(float64))
		for i := from / sliceKeys; i <= to/sliceKeys; i++ {
			holds[i] = fence
		}
	}
	released := false
	for i, fence := range b.holds {
		if fence != 0 && holds[i] == 0 {
			b.freed = append(b.freed, [3]any{i * sliceKeys, (i+1)*sliceKeys - 1, fmt.Sprintf("%s-%d", b.id, i)})
			released = true
		}
	}
	b.setHolds(holds, until, time.Now())
	return released
}

// setHolds records the change of what the backend holds. The caller holds the lock.
func (b *backend) setHolds(holds [sliceCount]int64, until, now time.Time) {
	before, after := 0, 0
	if b.holdings != nil {
		b.holdings.mu.Lock()
		defer b.holdings.mu.Unlock()
	}
	for i, fence := range holds {
		if b.holds[i] != 0 {
			before++
		}
		if fence != 0 {
			after++
		}
		if b.holdings == nil {
			continue
		}
		h := b.holdings
		if h.open[i] == nil {
			h.open[i] = map[string]*interval{}
		}
		open := h.open[i][b.id]
		if open != nil {
			// A grant that ran out before it was renewed ends when it ran out.
			end := now
			if !b.until.IsZero() && b.until.Before(now) {
				end = b.until
			}
			if fence == open.fence && end.Equal(now) {
				continue
			}
			open.till = end
			h.closed[i] = append(h.closed[i], *open)
			delete(h.open[i], b.id)
		}
		if fence != 0 {
			h.open[i][b.id] = &interval{backend: b.id, fence: fence, from: now}
		}
	}
	if before != after {
		b.record.printf("%s: holds %d slices, before %d", b.id, after, before)
	}
	b.holds, b.until = holds, until
}

// endAll closes the open intervals at now.
func (h *holdings) endAll(now time.Time, backends ...*backend) {
	for _, b := range backends {
		b.mu.Lock()
		b.expire(now)
		b.mu.Unlock()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.open {
		for id, open := range h.open[i] {
			open.till = now
			h.closed[i] = append(h.closed[i], *open)
			delete(h.open[i], id)
		}
	}
}

// overlap is a slice that two backends held at the same time.
type overlap struct {
	slice int
	a, b  interval
	took  time.Duration
	from  time.Time
}

// overlaps returns the overlaps that last longer than limit.
func (h *holdings) overlaps(limit time.Duration) []overlap {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []overlap
	for i, list := range h.closed {
		for x := range list {
			for y := x + 1; y < len(list); y++ {
				a, b := list[x], list[y]
				if a.backend == b.backend {
					continue
				}
				from, till := a.from, a.till
				if b.from.After(from) {
					from = b.from
				}
				if b.till.Before(till) {
					till = b.till
				}
				if took := till.Sub(from); took > limit {
					found = append(found, overlap{i, a, b, took, from})
				}
			}
		}
	}
	return found
}

// holdsKey reports whether the backend holds the key.
func (b *backend) holdsKey(key int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.until) && b.holds[key/sliceKeys] != 0
}

// serve runs a request as the pages say.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", b.id)
	if named := r.Header.Get("X-Target-Instance"); named != "" && named != b.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	key := -1
	if b.service == "k" {
		var err error
		if key, err = strconv.Atoi(r.Header.Get("X-Shard-Key")); err != nil || !b.holdsKey(key) {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	b.record.printf("%s: runs %s, key %d", b.id, id, key)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	case <-b.ended:
		return
	}
	w.Header().Set("X-Response-Seal", "seal-"+id)
	_, _ = fmt.Fprintf(w, "%s %s", b.id, r.URL.Path)
}

// ownerViolations lists the slices that two backends that were up held for longer than limit.
func ownerViolations(r *record, h *holdings, limit time.Duration) []string {
	var violations []string
	for _, o := range h.overlaps(limit) {
		violations = append(violations, fmt.Sprintf("OWNER: keys %d to %d held by %s (fence %d) and %s (fence %d) for %d ms from %.3f s on",
			o.slice*sliceKeys, (o.slice+1)*sliceKeys-1, o.a.backend, o.a.fence, o.b.backend, o.b.fence, o.took.Milliseconds(), o.from.Sub(r.began).Seconds()))
	}
	return violations
}

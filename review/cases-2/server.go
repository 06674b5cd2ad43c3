package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnrelay/auburnrelay/platform/body"
)

const (
	keyMax     = 65535
	sliceKeys  = 64
	sliceCount = (keyMax + 1) / sliceKeys
)

var lastServer atomic.Int64

// hold is what a server holds of one slice.
type hold struct {
	fence int64
	until time.Time
}

// server is a backend as the users' pages describe it. It runs requests, sends heartbeats and, if its service is keyed,
// holds keys by the grants in the answers.
type server struct {
	rec                  *recorder
	id, service, address string
	born                 int64
	slots                int
	node                 *node
	listener             net.Listener
	work                 func(r *http.Request) time.Duration
	// handle, if set, may answer a request itself; it returns true if it has.
	handle func(c *serverConn, r *http.Request) bool
	keyed  bool

	mu       sync.Mutex
	seq      int64
	draining bool
	stopped  bool
	running  int
	holds    [sliceCount]hold
	// working counts the requests at work by slice.
	working [sliceCount]int
	seen    [sliceCount]int64
	freed   map[int]string
	runs    map[string]int
	runAt   map[string]time.Time
}

type serverConn struct {
	net.Conn
	reader *bufio.Reader
	number int
}

func newServer(rec *recorder, service string, keyed bool) *server {
	l := listen()
	n := lastServer.Add(1)
	s := &server{rec: rec, id: fmt.Sprintf("i-%08x", 0x1000+n), service: service, address: l.Addr().String(), born: time.Now().UnixMilli(),
		slots: 6, listener: l, keyed: keyed, freed: map[int]string{}, runs: map[string]int{}, runAt: map[string]time.Time{},
		work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
	return s
}

// run serves requests and sends heartbeats.
func (s *server) run() {
	go s.accept(s.listener)
	go s.beatLoop()
}

func (s *server) accept(l net.Listener) {
	for number := 0; ; number++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(&serverConn{Conn: c, reader: bufio.NewReader(c), number: number})
	}
}

func (s *server) serve(c *serverConn) {
	defer c.Close()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		content, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(content))
		if s.handle != nil && s.handle(c, r) {
			continue
		}
		if !s.answer(c, r) {
			return
		}
	}
}

// answer handles a request as a sound server does; it reports whether the connection stays open.
func (s *server) answer(c *serverConn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	switch {
	case r.URL.Path == "/healthz":
		return c.respond(http.StatusOK, nil, "X-Instance-Id", s.id)
	case id == "":
		return c.respond(http.StatusBadRequest, nil, "X-Not-Executed", "1")
	case r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != s.id:
		return c.respond(http.StatusMisdirectedRequest, nil, "X-Attempt-Id", id, "X-Instance-Id", s.id, "X-Not-Executed", "1")
	}
	slice := -1
	if key, err := strconv.Atoi(r.Header.Get("X-Shard-Key")); s.keyed && err == nil {
		slice = key / sliceKeys
	}
	s.mu.Lock()
	if slice >= 0 && !time.Now().Before(s.holds[slice].until) {
		s.mu.Unlock()
		return c.respond(http.StatusMisdirectedRequest, nil, "X-Attempt-Id", id, "X-Instance-Id", s.id, "X-Not-Executed", "1")
	}
	if s.running >= s.slots {
		s.mu.Unlock()
		return c.respond(http.StatusServiceUnavailable, nil, "X-Attempt-Id", id, "X-Not-Executed", "1")
	}
	s.begin(id)
	if slice >= 0 {
		s.working[slice]++
	}
	s.mu.Unlock()
	time.Sleep(s.work(r))
	s.mu.Lock()
	s.running--
	if slice >= 0 {
		s.working[slice]--
	}
	s.mu.Unlock()
	return c.respond(http.StatusOK, []byte("answer to "+id+"\n"), "X-Attempt-Id", id, "X-Response-Seal", "seal-"+id)
}

// begin records that a request runs. The caller holds the lock.
func (s *server) begin(id string) {
	s.running++
	s.runs[id]++
	s.runAt[id] = time.Now()
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// respond writes a complete response. The header is given as names and values.
func (c *serverConn) respond(status int, content []byte, header ...string) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(header); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", header[i], header[i+1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(content))
	b.Write(content)
	_, err := c.Write(b.Bytes())
	return err == nil
}

// runsOf returns how often the request ran here.
func (s *server) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *server) beatLoop() {
	time.Sleep(time.Duration(rand.Float64() * heartbeatSeconds * float64(time.Second)))
	for {
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		pause := time.Duration(heartbeatSeconds * float64(time.Second))
		if soon, ok := s.beat(); soon || !ok {
			pause = 100 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// rows returns the slices that a function selects as rows of first and last key with a value.
func rows(selects func(slice int) (any, bool)) [][]any {
	list := [][]any{}
	for i := 0; i < sliceCount; i++ {
		value, ok := selects(i)
		if !ok {
			continue
		}
		if n := len(list); n > 0 && list[n-1][1] == i*sliceKeys-1 && list[n-1][2] == value {
			list[n-1][1] = (i+1)*sliceKeys - 1
			continue
		}
		list = append(list, []any{i * sliceKeys, (i+1)*sliceKeys - 1, value})
	}
	return list
}

// beat sends one heartbeat and applies the answer. It reports whether another one is due soon, because keys are being
// released, and whether the heartbeat was acknowledged.
func (s *server) beat() (soon, acknowledged bool) {
	sentAt := time.Now()
	s.mu.Lock()
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	message := map[string]any{
		"addr": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.node.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "seq": s.seq, "cold-left-s": 0},
	}
	if s.keyed {
		message["holds"] = rows(func(i int) (any, bool) {
			return s.holds[i].fence, sentAt.Before(s.holds[i].until) || s.working[i] > 0
		})
		message["freed"] = rows(func(i int) (any, bool) { token, ok := s.freed[i]; return token, ok })
	}
	freed := s.freed
	s.freed = map[int]string{}
	s.mu.Unlock()
	answer, ok := s.post("instances.heartbeat", message)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok || s.stopped {
		for i, token := range freed {
			s.freed[i] = token
		}
		return false, false
	}
	var granted struct {
		Holds [][]any `json:"holds"`
		Hold  float64 `json:"hold-s"`
	}
	if json.Unmarshal(answer, &granted) != nil || granted.Holds == nil || !s.keyed {
		return false, true
	}
	until := sentAt.Add(time.Duration(granted.Hold * float64(time.Second)))
	var next [sliceCount]bool
	for _, row := range granted.Holds {
		from, to, fence := int(row[0].(float64)), int(row[1].(float64)), int64(row[2].(float64))
		accepted := true
		for i := from / sliceKeys; i <= to/sliceKeys; i++ {
			accepted = accepted && s.seen[i] <= fence
		}
		if !accepted {
			continue
		}
		for i := from / sliceKeys; i <= to/sliceKeys; i++ {
			s.seen[i], s.holds[i], next[i] = fence, hold{fence, until}, true
		}
	}
	for i := range s.holds {
		if !next[i] && time.Now().Before(s.holds[i].until) {
			s.holds[i].until = time.Time{}
			if s.working[i] == 0 {
				s.freed[i] = fmt.Sprintf("%016x", s.seq<<16|int64(i))
			}
			soon = true
		}
	}
	return soon, true
}

// stop ends the server.
func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.listener.Close()
}

// sequence returns the number of the last heartbeat.
func (s *server) sequence() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seq
}

// heldSlices returns the number of slices that the server holds.
func (s *server) heldSlices() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i := range s.holds {
		if time.Now().Before(s.holds[i].until) {
			n++
		}
	}
	return n
}

// heldKey returns a key that the server holds; negative if it holds none.
func (s *server) heldKey() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.holds {
		if time.Now().Before(s.holds[i].until) {
			return i * sliceKeys
		}
	}
	return -1
}

// post sends a call to the control address of the node.
func (s *server) post(call string, message map[string]any) ([]byte, bool) {
	text, err := json.Marshal(message)
	must(err)
	data, err := body.CBOR.FromJSON(text)
	must(err)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+s.node.control+"/rpc?call="+call+"&of="+s.id, body.CBOR.ContentType(), bytes.NewReader(data))
	if err != nil {
		return nil, false
	}
	defer r.Body.Close()
	answer, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode/100 != 2 || len(answer) > 4096 {
		return nil, false
	}
	decoded, err := body.CBOR.ToJSON(answer)
	return decoded, err == nil
}

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["poison"] = poison }

const (
	// crashTime is how long a server is away after a crash.
	crashTime = 2 * time.Second
	// herdKills is how often all nodes are killed.
	herdKills = 6
)

// poisonRun is one run of the request that crashes servers.
type poisonRun struct {
	at     time.Time
	server string
	node   int
}

// poison: a request crashes each server that begins to run it, and comes again. All nodes are killed at once and
// started again, some times.
func poison(rec *recorder, nodeBin string, trouble bool) outcome {
	d := newDeployment(rec, nodeBin, config)
	defer d.close()
	const nodes = 5
	var mu sync.Mutex
	var runs []poisonRun
	// disturbed is when the machines were last disturbed; disturbing is set while they are.
	var disturbed time.Time
	var disturbing bool
	inTouch := func(at time.Time) bool { return !disturbing && at.Sub(disturbed) > stableWindow }
	takenBy := map[string]int{}
	sentAt := map[string]time.Time{}
	seen := map[string]bool{}
	// counted are the runs that count, and resent those of them that the nodes sent once more themselves.
	counted, resent := 0, 0
	var startServer func(i int, l net.Listener, address string) *server
	startServer = func(i int, l net.Listener, address string) *server {
		s := newServer(rec, "s", false)
		s.work = func(*http.Request) time.Duration { return 150 * time.Millisecond }
		if l != nil {
			_ = s.listener.Close()
			s.listener, s.address = l, address
		}
		var connMu sync.Mutex
		conns := map[*serverConn]bool{}
		s.handle = func(c *serverConn, r *http.Request) bool {
			connMu.Lock()
			conns[c] = true
			connMu.Unlock()
			id := r.Header.Get("X-Attempt-Id")
			if !strings.HasPrefix(r.URL.Path, "/read/poison") || r.Header.Get("X-Target-Instance") != s.id {
				return false
			}
			s.mu.Lock()
			if s.stopped {
				s.mu.Unlock()
				return true
			}
			s.begin(id, r)
			s.stopped = true
			s.mu.Unlock()
			_ = s.listener.Close()
			connMu.Lock()
			for other := range conns {
				_ = other.Conn.(*net.TCPConn).SetLinger(0)
				_ = other.Close()
			}
			connMu.Unlock()
			mu.Lock()
			now := time.Now()
			runs = append(runs, poisonRun{now, s.id, i})
			by := takenBy[id]
			counts := len(runs) > 3 && sentAt[id].Sub(runs[2].at) > stableWindow && inTouch(sentAt[id])
			isResent := seen[id]
			seen[id] = true
			if counts {
				counted++
				if isResent {
					resent++
				}
			}
			rec.printf("run %d: %s, taken by %s, crashes %s beside %s; counts: %t", len(runs), id, d.nodes[by].name, s.id, d.nodes[i].name, counts)
			mu.Unlock()
			time.AfterFunc(crashTime, func() {
				l, err := net.Listen("tcp", s.address)
				if err != nil {
					rec.printf("server beside %s does not come back: %v", d.nodes[i].name, err)
					return
				}
				next := startServer(i, l, s.address)
				next.node = d.nodes[i]
				d.nodes[i].server = next
				next.run()
			})
			return true
		}
		return s
	}
	for i := range nodes {
		s := startServer(i, nil, "")
		d.addNode(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i%2), s)
		s.run()
	}
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(6 * time.Second)
	var stop atomic.Bool
	var group sync.WaitGroup
	var served, other atomic.Int64
	for client := range nodes {
		group.Go(func() {
			for n := 0; !stop.Load(); n++ {
				r := newRequest("POST", fmt.Sprintf("/order/%d-%d", client, n))
				mu.Lock()
				if n%20 == 4*client && inTouch(time.Now()) {
					r.method, r.path = "GET", "/read/poison"
				}
				busy := disturbing
				takenBy[r.id], sentAt[r.id] = client, time.Now()
				mu.Unlock()
				if !busy {
					a := r.send(d.nodes[client].callers)
					switch {
					case r.method == "GET":
					case a.status == http.StatusOK:
						served.Add(1)
					default:
						other.Add(1)
						rec.printf("client sent %s, which is not idempotent, got %v", r.id, a)
					}
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	for range herdKills {
		if trouble {
			mu.Lock()
			disturbing = true
			mu.Unlock()
			rec.printf("all nodes are killed")
			for _, n := range d.nodes {
				n.signal(syscall.SIGKILL)
			}
			for _, n := range d.nodes {
				<-n.done
			}
			time.Sleep(time.Second)
			for _, n := range d.nodes {
				n.start()
			}
			rec.printf("all nodes are started")
			mu.Lock()
			disturbing, disturbed = false, time.Now()
			mu.Unlock()
		}
		time.Sleep(9 * time.Second)
	}
	stop.Store(true)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.printf("%d runs of the request; %d of them count: sent over %v after it had crashed the third server, by machines in touch; %d of these the nodes sent once more; %d bookings served, %d not",
		len(runs), counted, stableWindow, resent, served.Load(), other.Load())
	if resent > 3 {
		return broken
	}
	return held
}

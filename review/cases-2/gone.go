package main

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["gone"] = gone }

// gone: clients open a new connection for each request, say so with Connection: close, and some leave before the answer.
func gone(rec *recorder, nodeBin string, trouble bool) outcome {
	d := newDeployment(rec, nodeBin, config)
	defer d.close()
	s := newServer(rec, "s", false)
	s.slots = 24
	const work = 1500 * time.Millisecond
	var mu sync.Mutex
	leftAt, reachedAt, endedAt := map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	s.handle = func(c *serverConn, r *http.Request) bool {
		id := r.Header.Get("X-Attempt-Id")
		if id == "" {
			return false
		}
		began := time.Now()
		s.mu.Lock()
		s.begin(id, r)
		s.mu.Unlock()
		mu.Lock()
		reachedAt[id] = began
		mu.Unlock()
		// As most servers, it drops the request when its connection closes.
		_ = c.SetReadDeadline(began.Add(work))
		_, err := c.Conn.Read(make([]byte, 1))
		_ = c.SetReadDeadline(time.Time{})
		mu.Lock()
		endedAt[id] = time.Now()
		mu.Unlock()
		s.end()
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			return c.respond(http.StatusOK, []byte("ok"), "X-Attempt-Id", id, "X-Response-Seal", "seal-"+id)
		}
		_ = c.Close()
		return true
	}
	d.addNode("vm-1", "z1", s)
	s.run()
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(4 * time.Second)
	// The dose of give_up in the site file: a fifth of the clients leaves, for 5.5 s, within half the objective.
	const leaveTime, leaveWithin = 5500 * time.Millisecond, 400 * time.Millisecond
	began := time.Now()
	var sent atomic.Int64
	var group sync.WaitGroup
	for client := range 20 {
		group.Go(func() {
			leaves := client%5 == 0
			time.Sleep(time.Duration(client) * 70 * time.Millisecond)
			for time.Since(began) < leaveTime {
				r := newRequest("GET", "/read/1")
				r.timeout = 3 * time.Second
				r.header = []string{"Connection: close"}
				sent.Add(1)
				if !leaves || !trouble {
					rec.printf("client %d sent %s, got %v", client, r.id, r.send(d.nodes[0].callers))
					time.Sleep(300 * time.Millisecond)
					continue
				}
				c, err := net.DialTimeout("tcp", d.nodes[0].callers, time.Second)
				if err != nil {
					return
				}
				_, _ = c.Write(r.text())
				time.Sleep(leaveWithin / 2)
				_ = c.Close()
				mu.Lock()
				leftAt[r.id] = time.Now()
				mu.Unlock()
				rec.printf("client %d sent %s and left", client, r.id)
				time.Sleep(700 * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(work)
	mu.Lock()
	defer mu.Unlock()
	reachedLate, long, stillAtWork := 0, 0, 0
	for id, left := range leftAt {
		reached, ok := reachedAt[id]
		switch {
		case !ok:
		case reached.Sub(left) > 500*time.Millisecond:
			reachedLate++
			rec.printf("%s reached the server %v after its client had left", id, reached.Sub(left))
		case reached.Add(work).Sub(left) > 500*time.Millisecond:
			long++
			if endedAt[id].Sub(left) > 500*time.Millisecond {
				stillAtWork++
				rec.printf("the server worked on %s until %v after its client had left", id, endedAt[id].Sub(left))
			}
		}
	}
	rec.printf("%d requests, %d clients left; %d requests reached the server over half a second later; it was still at work then on %d of %d",
		sent.Load(), len(leftAt), reachedLate, stillAtWork, long)
	if reachedLate > 5 || 4*stillAtWork > long {
		return broken
	}
	return held
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-rejection"] = lateRejection }

// spoilShare and spoilTime are the dose of garble in the site file: x = 0.03, for_s = 5.0.
const (
	spoilOneIn = 34
	spoilTime  = 5 * time.Second
)

// lateRejection: one of two servers answers some requests a second time. The second answer is a rejection as the pages
// show it, without an id, and comes late, where the next answer is expected. The requests are not idempotent.
func lateRejection(rec *recorder, nodeBin string, trouble bool) outcome {
	d := newDeployment(rec, nodeBin, config)
	defer d.close()
	servers := []*server{newServer(rec, "s", false), newServer(rec, "s", false)}
	var began atomic.Pointer[time.Time]
	var answers, extra int
	var mu sync.Mutex
	owes := map[*serverConn]bool{}
	servers[0].handle = func(c *serverConn, r *http.Request) bool {
		if r.Header.Get("X-Attempt-Id") == "" {
			return false
		}
		mu.Lock()
		late := owes[c]
		delete(owes, c)
		if at := began.Load(); at != nil && time.Since(*at) < spoilTime {
			if answers++; answers%spoilOneIn == 0 {
				owes[c] = true
			}
		}
		if late && trouble {
			extra++
		}
		mu.Unlock()
		if late && trouble {
			rec.printf("server %s sends a second answer to an earlier request where that to %s is expected", servers[0].id, r.Header.Get("X-Attempt-Id"))
			c.respond(http.StatusServiceUnavailable, nil, "X-Not-Executed", "1")
		}
		return false
	}
	for i, s := range servers {
		d.addNode(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i+1), s)
		s.run()
	}
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(4 * time.Second)
	now := time.Now()
	began.Store(&now)
	sent, twice, refused := 0, 0, 0
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for time.Since(now) < spoilTime+time.Second {
				r := newRequest("POST", "/order/1")
				r.body = []byte("order")
				a := r.send(d.nodes[worker%2].callers)
				time.Sleep(40 * time.Millisecond)
				at := []int{servers[0].runsOf(r.id), servers[1].runsOf(r.id)}
				mu.Lock()
				sent++
				if at[0]+at[1] > 1 {
					twice++
				}
				if at[0]+at[1] > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
					refused++
				}
				mu.Unlock()
				rec.printf("client sent %s, got %v; runs at %s: %d, at %s: %d", r.id, a, servers[0].id, at[0], servers[1].id, at[1])
			}
		})
	}
	group.Wait()
	rec.printf("%d requests, %d answers of the faulty server in %v, %d second answers; %d requests ran twice, %d were refused and ran",
		sent, answers, spoilTime, extra, twice, refused)
	if twice+refused > 0 {
		return broken
	}
	return held
}

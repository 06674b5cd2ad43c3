package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stops"] = stops }

const (
	// stopGap is the time between the stops of two nodes (roll_term, gap_s = 1.3).
	stopGap = 1300 * time.Millisecond
	// longWork is the work of the requests that keep the first node busy, within their route's timeout of 4 s.
	longWork = 3500 * time.Millisecond
	// sendTime is less than the time after which two questions have shown that a node is not ready.
	sendTime = 1900 * time.Millisecond
)

// stops: four nodes are stopped and started again, one after the other. Clients of the last one send bookings for keys
// of the first one's server until two questions have shown that their node is not ready any more.
func stops(rec *recorder, nodeBin string, trouble bool) outcome {
	d := newDeployment(rec, nodeBin, config)
	defer d.close()
	var servers []*server
	for i, service := range []string{"k", "s", "s", "k", "s"} {
		s := newServer(rec, service, service == "k")
		s.slots = 12
		s.work = func(r *http.Request) time.Duration {
			switch {
			case strings.HasPrefix(r.URL.Path, "/read/long"):
				return longWork
			case strings.HasPrefix(r.URL.Path, "/book/slow"):
				return time.Duration(800+rand.IntN(400)) * time.Millisecond
			default:
				return 60 * time.Millisecond
			}
		}
		d.addNode(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i%2), s)
		s.run()
		servers = append(servers, s)
	}
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(8 * time.Second)
	first, last := d.nodes[0], d.nodes[3]
	key := servers[0].heldKey()
	began := time.Now()
	var group sync.WaitGroup
	for i := range 3 {
		// These are at work when the grace time ends: the rule leaves them out, and they keep the first node from ending.
		time.AfterFunc(2250*time.Millisecond+time.Duration(i)*50*time.Millisecond, func() {
			r := newRequest("GET", "/read/long")
			r.timeout = 4 * time.Second
			rec.printf("client sent %s at %s, got %v", r.id, first.name, r.send(first.callers))
		})
	}
	for _, n := range d.nodes[:4] {
		if trouble {
			rec.printf("SIGTERM to %s", n.name)
			n.signal(syscall.SIGTERM)
			group.Go(func() {
				<-n.done
				rec.printf("%s ended", n.name)
				n.start()
			})
		}
		if n != last {
			time.Sleep(stopGap)
		}
	}
	stopped := time.Now()
	var sent, cut atomic.Int64
	for range 16 {
		group.Go(func() {
			for time.Since(stopped) < sendTime {
				r := newRequest("POST", "/book/1")
				if rand.IntN(2) == 0 {
					r.path = "/book/slow"
				}
				r.key = key
				at := time.Now()
				a := r.send(last.callers)
				if errors.Is(a.err, syscall.ECONNREFUSED) {
					// The node does not accept connections any more.
					return
				}
				sent.Add(1)
				runs := 0
				for _, s := range servers {
					runs += s.runsOf(r.id)
				}
				took := time.Since(at)
				if runs > 0 && a.status != http.StatusOK && took < r.timeout {
					cut.Add(1)
					rec.printf("client sent %s, a booking, at %s %v after its SIGTERM, got %v after %v; it was at work at %s beside %s", r.id, last.name,
						at.Sub(stopped).Round(time.Millisecond), a, took.Round(time.Millisecond), servers[0].id, first.name)
				} else if a.status != http.StatusOK {
					rec.printf("client sent %s at %s, got %v; ran %d times", r.id, last.name, a, runs)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	rec.printf("%v after the first stop: %d bookings were sent at %s, %d of them were broken off while the server was at work on them",
		time.Since(began).Round(time.Second), sent.Load(), last.name, cut.Load())
	if cut.Load() > 0 {
		return broken
	}
	return held
}

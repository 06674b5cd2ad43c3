package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// hotKey is the key that gets much of the traffic, in the slice hotSlice.
	hotKey, hotSlice = 7, 0
	// crashTime is how long a crashed backend is down.
	crashTime = 4500 * time.Millisecond
	// leaveDelay is the time between the first grant of the hot keys to a backend and its leave call.
	leaveDelay = 300 * time.Millisecond
	// drainTime is how long a backend goes on serving after its leave call: drain-s and a little longer.
	drainTime = 2500 * time.Millisecond
)

func init() { cases["leave-after-crash"] = leaveAfterCrash }

// leaveAfterCrash crashes a backend of a keyed service and takes another one away a moment later, while one key
// gets much of the traffic. The second one is of those that never report "draining": it calls leave, goes on
// serving and exits.
func leaveAfterCrash(r *record, trouble bool) []string {
	c := newCluster(r)
	defer c.stop()
	h := &holdings{}
	var all []*backend
	next := 1
	add := func(n *node) {
		all = append(all, startBackend(n, fmt.Sprintf("i-%d", next), h))
		next++
	}
	for i := range 5 {
		add(c.addNode(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i%4+1), "k"))
	}
	c.awaitReady()
	callers := &client{record: r}
	// Clients use this machine, whose backend stays.
	entry := c.addNode("vm-0", "z1", "s")
	startBackend(entry, "i-0", nil)
	c.awaitReady()
	callers.awaitServed([]*node{entry}, 15*time.Second)
	stop := callers.load([]*node{entry}, 5*time.Millisecond, func(n *node, i int) {
		key := i * 977 % 65536
		if i%20 < 9 {
			key = hotKey
		}
		callers.send(n, http.MethodGet, "/look/x", key, time.Second)
	})
	time.Sleep(3 * time.Second)
	for round := range 5 {
		if !trouble {
			time.Sleep(18 * time.Second)
			continue
		}
		crashed := holderOf(all, nil)
		if crashed == nil {
			r.printf("round %d: nobody holds the hot keys", round)
			time.Sleep(5 * time.Second)
			continue
		}
		crashed.crash()
		restartAt := time.Now().Add(crashTime)
		leaving := awaitHolder(all, crashed)
		time.Sleep(leaveDelay)
		if leaving != nil {
			leaving.leave()
		}
		time.Sleep(time.Until(restartAt))
		add(crashed.node)
		if leaving != nil {
			add(c.addNode(fmt.Sprintf("vm-%d", len(c.nodes)), "z2", "k"))
		}
		time.Sleep(9 * time.Second)
	}
	stop()
	h.endAll(time.Now(), all...)
	for _, o := range h.overlaps(0) {
		r.printf("overlap: slice %d held by %s (fence %d) and %s (fence %d) for %.1f ms from %.3f s on", o.slice, o.a.backend, o.a.fence, o.b.backend, o.b.fence,
			float64(o.took.Microseconds())/1000, o.from.Sub(r.began).Seconds())
	}
	return ownerViolations(r, h, 500*time.Millisecond)
}

// holderOf returns a backend other than the given one that holds the hot keys.
func holderOf(all []*backend, other *backend) *backend {
	for _, b := range all {
		if b != other && b.isUp() && b.holdsKey(hotKey) {
			return b
		}
	}
	return nil
}

// awaitHolder waits until another backend holds the hot keys; nil if none does in time.
func awaitHolder(all []*backend, former *backend) *backend {
	for range 600 {
		if b := holderOf(all, former); b != nil {
			return b
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// leave makes a backend call leave. It sends no further heartbeats, goes on serving for a while and exits, and
// its machine is removed.
func (b *backend) leave() {
	b.mu.Lock()
	b.beating = false
	b.mu.Unlock()
	_, err := callControl(b.node.control, "instances.leave", b.id, map[string]any{"born": b.born})
	b.record.printf("%s: leave call, error %v", b.id, err)
	go func() {
		time.Sleep(drainTime)
		b.crash()
		b.node.kill()
	}()
}

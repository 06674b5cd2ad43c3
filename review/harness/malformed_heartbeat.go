package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// routeTimeout is the timeout-s of the route /look/, and clientTimeout how long its clients wait.
	routeTimeout  = 1500 * time.Millisecond
	clientTimeout = 3 * time.Second
	// answerSlack is how long after its route's timeout a request must have an answer.
	answerSlack = 500 * time.Millisecond
)

func init() { cases["malformed-heartbeat"] = malformedHeartbeat }

// malformedHeartbeat sends one heartbeat of another writer, whose row of released keys begins with a number that is
// no key, to the node of a backend. Clients on that machine go on sending.
func malformedHeartbeat(r *record, trouble bool) []string {
	c := newCluster(r)
	defer c.stop()
	var backends []*backend
	for i := range 3 {
		n := c.addNode(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i+1), "k")
		backends = append(backends, startBackend(n, fmt.Sprintf("i-%d", i+1), nil))
	}
	c.awaitReady()
	callers := &client{record: r}
	callers.awaitServed(c.nodes, 15*time.Second)
	time.Sleep(4 * time.Second)
	stop := callers.load(c.nodes, 20*time.Millisecond, func(n *node, i int) {
		callers.send(n, http.MethodGet, "/look/x", i*977%65536, clientTimeout)
	})
	time.Sleep(3 * time.Second)
	if trouble {
		b := backends[1]
		message := map[string]any{
			"addr": b.address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "k", "version": "v1", "zone": "z", "slots": 6},
			"status": map[string]any{"state": "ready", "seq": 1, "cold-left-s": 0},
			"holds":  [][3]int64{}, "freed": [][3]any{{-1e300, 63, "x"}},
		}
		_, err := sendBeat(b.node.control, "i-foreign", message)
		r.printf("heartbeat of another writer with a malformed row at %s: error %v", b.node.name, err)
	}
	time.Sleep(15 * time.Second)
	for _, n := range c.nodes {
		r.printf("%s: ready %v", n.name, n.isReady())
	}
	stop()
	var late, unanswered []answer
	for _, a := range callers.all {
		if a.err != nil || a.took > routeTimeout {
			late = append(late, a)
		}
		if a.err != nil || a.took > routeTimeout+answerSlack {
			unanswered = append(unanswered, a)
		}
	}
	r.printf("%d of %d requests were unanswered at their route's timeout, %d of these half a second later", len(late), len(callers.all), len(unanswered))
	if 2*len(unanswered) <= len(late) {
		return nil
	}
	var violations []string
	for _, a := range unanswered {
		violations = append(violations, fmt.Sprintf("CONFIG: request %s has no answer %d ms after it was sent: %v", a.id, a.took.Milliseconds(), a.err))
	}
	return violations
}

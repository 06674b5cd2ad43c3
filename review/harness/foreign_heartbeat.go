package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["foreign-heartbeat"] = foreignHeartbeat }

// foreignHeartbeat sends one heartbeat of another writer, for a service that no page or configuration names,
// to the node of a backend that holds keys.
func foreignHeartbeat(r *record, trouble bool) []string {
	c := newCluster(r)
	defer c.stop()
	h := &holdings{}
	var backends []*backend
	for i, domain := range []string{"z1", "z2", "z3"} {
		n := c.addNode(fmt.Sprintf("vm-%d", i+1), domain, "k")
		backends = append(backends, startBackend(n, fmt.Sprintf("i-%d", i+1), h))
	}
	c.awaitReady()
	callers := &client{record: r}
	callers.awaitServed(c.nodes, 15*time.Second)
	time.Sleep(4 * time.Second)
	stop := callers.load(c.nodes, 10*time.Millisecond, func(n *node, i int) {
		callers.send(n, http.MethodGet, "/look/x", i*977%65536, time.Second)
	})
	time.Sleep(2 * time.Second)
	if trouble {
		b := backends[1]
		message := map[string]any{
			"addr": b.address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "unnamed", "version": "v1", "zone": "z", "slots": 6},
			"status": map[string]any{"state": "ready", "seq": 1, "cold-left-s": 0},
			"holds":  [][3]int64{}, "freed": [][3]any{},
		}
		_, err := sendBeat(b.node.control, "i-foreign", message)
		r.printf("heartbeat of another writer for the service \"unnamed\" at %s: error %v", b.node.name, err)
	}
	time.Sleep(8 * time.Second)
	stop()
	h.endAll(time.Now(), backends...)
	return ownerViolations(r, h, 500*time.Millisecond)
}

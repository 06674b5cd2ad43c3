package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["slashes"] = doubleSlash }

const rootConfig = `{"version":"00000001","limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":"a.example","rules":[
{"name":"read","kind":"idempotent","slo-s":0.5,"priority":2,"match":{"path-prefix":"/"},"action":{"service":"hub","timeout-s":2,"attempts":1}}]}],
"clusters":[{"name":"hub","health-path":"/healthz","max-conns":110}]}`

// doubleSlash: a client sends paths that begin with two slashes on a route whose prefix is a slash.
func doubleSlash(w *world) {
	w.startStore(rootConfig)
	var nodes []*node
	for i := range 2 {
		b := w.addBackend(fmt.Sprintf("i-%d", i+1), "hub")
		n := w.addNode(fmt.Sprintf("vm-%d", i+1), "hub", b.address)
		b.connect(n.control)
		nodes = append(nodes, n)
	}
	w.await("both nodes are ready and serve", 30*time.Second, func() bool {
		for _, n := range nodes {
			if !n.isReady() {
				return false
			}
			if _, a := w.get(n, "/warm-up", time.Second); a.status != http.StatusOK {
				return false
			}
		}
		return true
	})
	time.Sleep(4 * time.Second)
	target := "/manuals//7f?page=2"
	if w.trouble {
		target = "//manuals/7f?page=2"
	}
	changed, refused := 0, 0
	for i := range 20 {
		id, a := w.get(nodes[i%2], target, time.Second)
		w.mu.Lock()
		for _, ran := range w.runs[id] {
			if ran != target {
				changed++
			}
		}
		w.mu.Unlock()
		if a.status != http.StatusOK {
			refused++
		}
	}
	w.finish(changed > 0, "%d runs with another path than the client's, %d of 20 requests without a success", changed, refused)
}

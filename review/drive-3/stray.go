package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["stray"] = strayHeartbeat }

// strayHeartbeat: a heartbeat of another writer, with fields missing, reaches the node of a backend that holds keys.
func strayHeartbeat(w *world) {
	w.startStore(keyedConfig)
	var nodes []*node
	var backends []*backend
	for i := range 3 {
		b := w.addBackend(fmt.Sprintf("i-%d", i+1), "desk", true)
		n := w.addNode(fmt.Sprintf("vm-%d", i+1), "desk", b.address)
		b.connect(n.control)
		nodes, backends = append(nodes, n), append(backends, b)
	}
	w.await("all nodes are ready and all keys are held", 30*time.Second, func() bool {
		total := 0
		for i, b := range backends {
			if !nodes[i].isReady() || b.held() == 0 {
				return false
			}
			total += b.held()
		}
		return total == sliceMax
	})
	time.Sleep(4 * time.Second)
	o := w.watchOverlap()
	if w.trouble {
		b := backends[0]
		stray := map[string]any{
			"addr": b.address, "born": time.Now().UnixMilli(),
			"info": map[string]any{"service": b.service, "slots": 6}, "status": map[string]any{"state": "draining"},
		}
		decoded := post(nodes[0].control, "instances.heartbeat", "i-stray", stray)
		w.note("heartbeat of another writer without seq, zone, version, cold-left-s, holds and freed to %s: answer %v", nodes[0].name, decoded)
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
		key := int(w.ids.Load()*4099) % (keyMax + 1)
		w.send(nodes[int(w.ids.Load())%3], http.MethodGet, "/look/x", key, time.Second)
		if w.ids.Load()%10 == 0 {
			w.note("held: %d %d %d", backends[0].held(), backends[1].held(), backends[2].held())
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	w.finish(o.longest > 500*time.Millisecond, "at most %d slices were held by two backends at the same time, the longest for %v: slice %d by %v",
		o.most, o.longest, o.slice, o.holders)
}

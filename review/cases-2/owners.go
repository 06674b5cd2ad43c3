package main

import (
	"fmt"
	"time"
)

func init() { cases["foreign-heartbeat"] = foreignHeartbeat }

// holdCheck follows which servers hold which slice.
type holdCheck struct {
	rec     *recorder
	servers []*server
	since   [sliceCount]time.Time
	// longest is the longest time for which two servers held a slice, and slices the number of those held for over
	// half a second.
	longest time.Duration
	slices  int
}

const maxOverlap = 500 * time.Millisecond

func (h *holdCheck) look() {
	now := time.Now()
	var holders [sliceCount][]string
	for _, s := range h.servers {
		s.mu.Lock()
		for i := range s.holds {
			if !s.stopped && now.Before(s.holds[i].until) {
				holders[i] = append(holders[i], fmt.Sprintf("%s with token %d", s.id, s.holds[i].fence))
			}
		}
		s.mu.Unlock()
	}
	for i, names := range holders {
		if len(names) < 2 {
			h.since[i] = time.Time{}
			continue
		}
		if h.since[i].IsZero() {
			h.since[i] = now
		}
		before, over := h.longest, now.Sub(h.since[i])
		h.longest = max(h.longest, over)
		if over > maxOverlap && before <= maxOverlap {
			h.rec.printf("keys %d to %d are held by %v", i*sliceKeys, (i+1)*sliceKeys-1, names)
		}
	}
}

// foreignHeartbeat: a node gets one heartbeat of another writer, in which fields are missing.
func foreignHeartbeat(rec *recorder, nodeBin string, trouble bool) outcome {
	d := newDeployment(rec, nodeBin, config)
	defer d.close()
	check := &holdCheck{rec: rec}
	for i := range 3 {
		s := newServer(rec, "k", true)
		d.addNode(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i%2), s)
		s.run()
		check.servers = append(check.servers, s)
	}
	if !d.awaitReady() {
		return notRun
	}
	watchFor := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			check.look()
		}
	}
	watchFor(8 * time.Second)
	for _, s := range check.servers {
		rec.printf("server %s holds %d slices", s.id, s.heldSlices())
	}
	if trouble {
		real := check.servers[0]
		foreign := &server{id: "i-0000beef", node: real.node}
		// It comes soon after a heartbeat of the real server, which then holds its keys for a while.
		for last := real.sequence(); real.sequence() == last; {
			watchFor(20 * time.Millisecond)
		}
		watchFor(50 * time.Millisecond)
		_, ok := foreign.post("instances.heartbeat", map[string]any{
			"addr": real.address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": real.service, "slots": real.slots},
			"status": map[string]any{"state": "draining"},
		})
		rec.printf("heartbeat of another writer as %s, without version, zone, seq, cold-left-s, holds and freed; acknowledged: %t", foreign.id, ok)
	}
	watchFor(6 * time.Second)
	for _, s := range check.servers {
		rec.printf("server %s holds %d slices", s.id, s.heldSlices())
	}
	rec.printf("longest time for which two servers held the same keys: %v", check.longest.Round(time.Millisecond))
	if check.longest > maxOverlap {
		return broken
	}
	return held
}

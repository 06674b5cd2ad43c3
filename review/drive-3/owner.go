package main

import (
	"sync"
	"time"
)

const keyedConfig = `{"version":"00000001","limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":"a.example","rules":[
{"name":"book","kind":"non_idempotent","slo-s":0.3,"priority":1,"match":{"path-prefix":"/book/"},"action":{"service":"desk","timeout-s":1.2,"attempts":2}},
{"name":"look","kind":"idempotent","slo-s":0.25,"priority":2,"match":{"path-prefix":"/look/"},"action":{"service":"desk","timeout-s":1,"attempts":2}}]}],
"clusters":[{"name":"desk","health-path":"/healthz","max-conns":110,"sharded":true,"warm-s":5}]}`

// overlap watches for slices that two backends hold at the same time.
type overlap struct {
	mu sync.Mutex
	// since holds when two backends were first seen to hold a slice, by slice.
	since map[int]time.Time
	// longest is the longest such time, slice and holders those of it, and most the largest number of such slices.
	longest time.Duration
	slice   int
	holders [2]string
	most    int
}

func (w *world) watchOverlap() *overlap {
	o := &overlap{since: map[int]time.Time{}}
	go func() {
		for {
			o.look(w)
			time.Sleep(10 * time.Millisecond)
		}
	}()
	return o
}

func (o *overlap) look(w *world) {
	w.mu.Lock()
	backends := append([]*backend{}, w.backends...)
	w.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	doubled := 0
	for slice := range sliceMax {
		var holders []string
		for _, b := range backends {
			if b.keyed && b.holds(slice) {
				holders = append(holders, b.id)
			}
		}
		if len(holders) < 2 {
			delete(o.since, slice)
			continue
		}
		doubled++
		if o.since[slice].IsZero() {
			o.since[slice] = now
		}
		if lasted := now.Sub(o.since[slice]); lasted > o.longest {
			o.longest, o.slice, o.holders = lasted, slice, [2]string{holders[0], holders[1]}
		}
	}
	o.most = max(o.most, doubled)
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["extra"] = extraBytes }

const bookingConfig = `{"version":"00000001","limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":"a.example","rules":[
{"name":"book","kind":"non_idempotent","slo-s":0.5,"priority":1,"match":{"path-prefix":"/book/"},"action":{"service":"hub","timeout-s":1.2,"attempts":2}}]}],
"clusters":[{"name":"hub","health-path":"/healthz","max-conns":110}]}`

const (
	// bookings is how many bookings the clients send, at bookingInterval, within the 5 s of the disruption.
	bookings        = 800
	bookingInterval = 6 * time.Millisecond
	// extraOneIn is the share of its answers behind which the faulty backend sends further bytes: one in so many.
	extraOneIn = 34
	// extra is what it sends: a whole answer, but without the id of a request, which each answer of a backend echoes.
	extra = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// extraBytes: one of two backends sends further bytes behind a small share of its complete answers. They arrive late, at
// the point where the next answer is expected.
func extraBytes(w *world) {
	w.startStore(bookingConfig)
	var nodes []*node
	var faulty *backend
	for i := range 2 {
		b := w.addBackend(fmt.Sprintf("i-%d", i+1), "hub", false)
		b.slots = 12
		n := w.addNode(fmt.Sprintf("vm-%d", i+1), "hub", b.address)
		b.connect(n.control)
		nodes, faulty = append(nodes, n), b
	}
	w.await("both nodes are ready and serve", 30*time.Second, func() bool {
		for _, n := range nodes {
			if !n.isReady() {
				return false
			}
			if _, a := w.send(n, http.MethodPost, "/book/first", -1, time.Second); a.status != http.StatusOK {
				return false
			}
		}
		return true
	})
	time.Sleep(4 * time.Second)
	var answers, sent atomic.Int64
	if w.trouble {
		faulty.mu.Lock()
		faulty.extraAfter = func(id string) bool {
			if answers.Add(1)%extraOneIn != 0 {
				return false
			}
			sent.Add(1)
			w.note("further bytes follow the answer to id=%s", id)
			return true
		}
		faulty.mu.Unlock()
	}
	var group sync.WaitGroup
	for i := range bookings {
		group.Go(func() { w.send(nodes[i%2], http.MethodPost, "/book/bay", -1, 1200*time.Millisecond) })
		time.Sleep(bookingInterval)
	}
	group.Wait()
	twice := 0
	w.mu.Lock()
	for id, runs := range w.runs {
		if len(runs) > 1 {
			twice++
			fmt.Fprintf(w.record, "          twice id=%s %v\n", id, runs)
		}
	}
	w.mu.Unlock()
	w.finish(twice > 0, "%d of %d bookings ran more than once; the faulty backend sent further bytes behind %d of its %d answers",
		twice, bookings, sent.Load(), answers.Load())
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

func init() { cases["left-again"] = leftAgain }

const (
	// storeAnswers is how long the store takes for an answer, and slowStoreAnswers while it is slow (platform_slow, x = 60).
	storeAnswers, slowStoreAnswers = 4 * time.Millisecond, 240 * time.Millisecond
	// drainTime and stableWindow are the bounds drain-s and stable-window-s.
	drainTime, stableWindow = 2 * time.Second, 3 * time.Second
)

// leftAgain: a server leaves without reporting the state draining, and goes on serving. Its node is killed and started
// again while the store is slow.
func leftAgain(rec *recorder, nodeBin string, trouble bool) outcome {
	d := newDeployment(rec, nodeBin, config)
	defer d.close()
	d.store.Memory().SetFaults(memstore.Faults{Delay: storeAnswers})
	var servers []*server
	for i := range 4 {
		s := newServer(rec, "s", false)
		d.addNode(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i%2), s)
		s.run()
		servers = append(servers, s)
	}
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(6 * time.Second)
	var stop atomic.Bool
	var group sync.WaitGroup
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	for worker := range 6 {
		group.Go(func() {
			for !stop.Load() {
				r := newRequest("GET", "/read/1")
				mu.Lock()
				sentAt[r.id] = time.Now()
				mu.Unlock()
				if a := r.send(d.nodes[1+worker%3].callers); a.status != http.StatusOK {
					rec.printf("client sent %s at %s, got %v", r.id, d.nodes[1+worker%3].name, a)
				}
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	left := servers[0]
	_, ok := left.post("instances.leave", map[string]any{"born": left.born})
	ackAt := time.Now()
	rec.printf("server %s beside %s sends instances.leave, acknowledged: %t", left.id, d.nodes[0].name, ok)
	if !ok {
		return notRun
	}
	// calmFrom is when all machines and the store have been without disruption for stableWindow.
	calmFrom := ackAt.Add(drainTime)
	if trouble {
		time.Sleep(300 * time.Millisecond)
		d.store.Memory().SetFaults(memstore.Faults{Delay: slowStoreAnswers})
		rec.printf("the store takes %v for an answer", slowStoreAnswers)
		time.Sleep(200 * time.Millisecond)
		d.nodes[0].kill()
		rec.printf("%s killed", d.nodes[0].name)
		time.Sleep(time.Second)
		d.nodes[0].start()
		rec.printf("%s started", d.nodes[0].name)
		time.Sleep(3300 * time.Millisecond)
		d.store.Memory().SetFaults(memstore.Faults{Delay: storeAnswers})
		rec.printf("the store takes %v for an answer", storeAnswers)
		calmFrom = time.Now().Add(stableWindow)
	}
	time.Sleep(time.Until(ackAt.Add(14 * time.Second)))
	stop.Store(true)
	group.Wait()
	left.stop()
	rec.printf("server %s ends", left.id)
	mu.Lock()
	defer mu.Unlock()
	early, late := 0, 0
	for id, at := range left.runAt {
		if sent, known := sentAt[id]; !known || sent.Before(ackAt.Add(drainTime)) || at.Before(calmFrom) {
			early++
			continue
		}
		late++
		rec.printf("%s, sent %v after the acknowledgement, ran at %s, which had left", id, sentAt[id].Sub(ackAt).Round(time.Millisecond), left.id)
	}
	rec.printf("%d requests ran at the server that had left, sent later than drain-s after the acknowledgement, with all machines in touch; %d others ran there",
		late, early)
	if late > 0 {
		return broken
	}
	return held
}

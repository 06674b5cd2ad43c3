package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["behind"] = lostBehind }

const twoServicesConfig = `{"version":"00000001","limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":"a.example","rules":[
{"name":"report","kind":"download","slo-s":0.3,"priority":2,"match":{"path-prefix":"/report/"},"action":{"service":"hub","timeout-s":0.8,"attempts":2}},
{"name":"look","kind":"idempotent","slo-s":0.3,"priority":2,"match":{"path-prefix":"/look/"},"action":{"service":"desk","timeout-s":0.8,"attempts":2}}]}],
"clusters":[{"name":"hub","health-path":"/healthz","max-conns":110},{"name":"desk","health-path":"/healthz","max-conns":110}]}`

const (
	// reportBytes is the length of a report.
	reportBytes = 100_000
	// hubs is the number of backends for reports, faultyHubs that of the faulty ones among them.
	hubs, faultyHubs = 5, 3
	// oneIn is the share of their answers that the faulty backends break off: one in so many.
	oneIn = 34
	// pairs is how many pairs of requests the clients send, at pairInterval, within the 5 s of the disruption.
	pairs        = 1800
	pairInterval = 2700 * time.Microsecond
)

// lostBehind: clients send a request behind a download. Some backends of the download break off a small share
// of their answers. Those of the request behind it are sound.
func lostBehind(w *world) {
	w.startStore(twoServicesConfig)
	var nodes []*node
	var faulty []*backend
	for i := range hubs + 1 {
		service := "hub"
		if i == hubs {
			service = "desk"
		}
		b := w.addBackend(fmt.Sprintf("i-%d", i+1), service, false)
		b.slots, b.work = 12, 5*time.Millisecond
		n := w.addNode(fmt.Sprintf("vm-%d", i+1), service, b.address)
		b.connect(n.control)
		nodes = append(nodes, n)
		if service == "hub" {
			b.respond = func(b *backend, r *request) answer { return report(r, false) }
			if len(faulty) < faultyHubs {
				faulty = append(faulty, b)
			}
		}
	}
	w.await("all nodes are ready and serve", 30*time.Second, func() bool {
		for _, n := range nodes {
			if !n.isReady() {
				return false
			}
			for _, path := range []string{"/report/first", "/look/first"} {
				if _, a := w.send(n, http.MethodGet, path, -1, time.Second); a.status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
	time.Sleep(4 * time.Second)
	var answers, broken atomic.Int64
	for _, b := range faulty {
		if !w.trouble {
			break
		}
		b.respond = func(_ *backend, r *request) answer {
			spoil := answers.Add(1)%oneIn == 0
			if spoil {
				broken.Add(1)
				w.note("broken off id=%s", r.id())
			}
			return report(r, spoil)
		}
	}
	var lost atomic.Int64
	var group sync.WaitGroup
	for i := range pairs {
		group.Go(func() {
			if w.sendPair(nodes[i%len(nodes)]) {
				lost.Add(1)
			}
		})
		time.Sleep(pairInterval)
	}
	group.Wait()
	w.finish(lost.Load() > 3, "%d of %d requests behind a download had run at a sound backend and were not answered before their connection was closed; "+
		"the faulty backends broke off %d of their %d answers", lost.Load(), pairs, broken.Load(), answers.Load())
}

// report returns the answer to a download, whole or broken off after nine tenths.
func report(r *request, brokenOff bool) answer {
	time.Sleep(5 * time.Millisecond)
	whole := message(http.StatusOK, map[string]string{"X-Attempt-Id": r.id(), "X-Response-Seal": "seal-" + r.id()},
		string(bytes.Repeat([]byte("r"), reportBytes)))
	if brokenOff {
		return answer{whole[:len(whole)-reportBytes/10], true}
	}
	return answer{whole, false}
}

// sendPair sends a download and a request behind it on one connection. It reports whether the second has run and the
// connection was closed before its answer.
func (w *world) sendPair(n *node) bool {
	first, second := fmt.Sprintf("a%d", w.ids.Add(1)), fmt.Sprintf("a%d", w.ids.Add(1))
	c, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		w.note("pair       %s %s error=%v", first, second, err)
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	const text = "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Timeout-Ms: 800\r\n\r\n"
	fmt.Fprintf(c, text+text, "/report/7f", first, "/look/7f", second)
	reader := bufio.NewReader(c)
	firstStatus, firstBytes, firstErr := readAnswer(reader)
	secondStatus, _, secondErr := readAnswer(reader)
	ran := w.hasRun(second)
	w.note("pair       %s status=%d bytes=%d error=%v; %s status=%d error=%v ran=%v", first, firstStatus, firstBytes, firstErr,
		second, secondStatus, secondErr, ran)
	return secondErr != nil && ran
}

func readAnswer(reader *bufio.Reader) (status int, length int64, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	length, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, length, err
}

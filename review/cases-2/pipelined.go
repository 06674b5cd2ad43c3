package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pipelined"] = pipelined }

// pipelined: clients send a download and, before it is answered, an idempotent request that goes to a sound server. The
// server of the download breaks some of its answers off.
func pipelined(rec *recorder, nodeBin string, trouble bool) outcome {
	d := newDeployment(rec, nodeBin, config)
	defer d.close()
	faulty, sound := newServer(rec, "t", false), newServer(rec, "s", false)
	sound.slots = 12
	faulty.slots = 12
	manual := []byte(strings.Repeat("m", 400_000))
	var began atomic.Pointer[time.Time]
	var answers, cut atomic.Int64
	faulty.handle = func(c *serverConn, r *http.Request) bool {
		id := r.Header.Get("X-Attempt-Id")
		if id == "" {
			return false
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n", id, id, len(manual))
		_, _ = c.Write([]byte(head))
		_, _ = c.Write(manual[:300_000])
		at := began.Load()
		if at != nil && time.Since(*at) < spoilTime && answers.Add(1)%spoilOneIn == 0 && trouble {
			cut.Add(1)
			rec.printf("server %s breaks off its answer to %s", faulty.id, id)
			_ = c.Close()
			return true
		}
		_, _ = c.Write(manual[300_000:])
		return true
	}
	sound.work = func(*http.Request) time.Duration { return 40 * time.Millisecond }
	for i, s := range []*server{faulty, sound} {
		d.addNode(fmt.Sprintf("vm-%d", i+1), "z1", s)
		s.run()
	}
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(5 * time.Second)
	now := time.Now()
	began.Store(&now)
	var sent, lost atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			var c net.Conn
			var reader *bufio.Reader
			for time.Since(now) < spoilTime {
				if c == nil {
					var err error
					if c, err = net.DialTimeout("tcp", d.nodes[1].callers, time.Second); err != nil {
						return
					}
					reader = bufio.NewReader(c)
					// The connection is a kept one for the pairs that follow.
					warm := newRequest("GET", "/read/0")
					_, _ = c.Write(warm.text())
					if readAnswer(reader, warm).status == 0 {
						return
					}
				}
				first, second := newRequest("GET", "/manual/1"), newRequest("GET", "/read/1")
				_ = c.SetDeadline(time.Now().Add(3 * time.Second))
				_, _ = c.Write(append(first.text(), second.text()...))
				a, b := readAnswer(reader, first), answer{}
				if b.err = a.err; a.status != 0 {
					b = readAnswer(reader, second)
				}
				sent.Add(1)
				runs := sound.runsOf(second.id)
				if runs > 0 && b.status == 0 {
					lost.Add(1)
				}
				rec.printf("client sent %s, got %v; and %s behind it, got %v, runs at the sound server: %d", first.id, a, second.id, b, runs)
				if a.status == 0 || b.status == 0 {
					_ = c.Close()
					c = nil
				}
			}
		})
	}
	group.Wait()
	rec.printf("%d pairs, %d answers of the faulty server in %v, %d broken off; %d requests that the sound server ran got no answer",
		sent.Load(), answers.Load(), spoilTime, cut.Load(), lost.Load())
	if lost.Load() > 3 {
		return broken
	}
	return held
}

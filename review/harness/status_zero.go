package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["status-zero"] = statusZero }

// statusZero lets a backend spoil the status line of 2 in 100 of its answers: the status code is 000.
func statusZero(r *record, trouble bool) []string {
	c := newCluster(r)
	defer c.stop()
	n := c.addNode("vm-1", "z1", "s")
	b := startBackend(n, "i-1", nil)
	spoiled := 0
	l, err := net.Listen("tcp", loopbackIP()+":0")
	must(err)
	defer l.Close()
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go serveSpoiled(b, connection, func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				spoiled++
				return trouble && spoiled%50 == 0
			})
		}
	}()
	b.mu.Lock()
	b.address = l.Addr().String()
	b.mu.Unlock()
	c.awaitReady()
	callers := &client{record: r}
	time.Sleep(2 * time.Second)
	stop := callers.load(c.nodes, 20*time.Millisecond, func(n *node, i int) {
		method, path := http.MethodGet, "/read/x"
		if i%2 == 0 {
			method, path = http.MethodPost, "/pay/x"
		}
		callers.send(n, method, path, -1, time.Second)
	})
	time.Sleep(12 * time.Second)
	stop()
	var violations []string
	served := 0
	for _, a := range callers.all {
		if a.err != nil || a.status/100 != 2 {
			continue
		}
		served++
		if a.seal != "seal-"+a.id {
			violations = append(violations, fmt.Sprintf("MIXED: request %s got %d with the seal %q and the body %q", a.id, a.status, a.seal, a.text))
		}
	}
	r.printf("%d of %d requests got a success", served, len(callers.all))
	if served < len(callers.all)/2 {
		must(fmt.Errorf("only %d of %d requests were served", served, len(callers.all)))
	}
	return violations
}

// serveSpoiled serves one connection of a backend and spoils the answers that spoil selects.
func serveSpoiled(b *backend, connection net.Conn, spoil func() bool) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Attempt-Id")
		b.record.printf("%s: runs %s", b.id, id)
		time.Sleep(workTime)
		text := b.id + " " + request.URL.Path
		head := "HTTP/1.1 200 OK\r\nX-Response-Seal: seal-" + id + "\r\n"
		if spoil() {
			b.record.printf("%s: spoils the answer to %s", b.id, id)
			text, head = "no answer", "HTTP/1.1 000 \r\n"
		}
		if _, err := fmt.Fprintf(connection, "%sX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(text), text); err != nil {
			return
		}
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// manualBytes is the size of a download; the site's largest is 540 kB.
	manualBytes = 200_000
	// spoiledOneIn is how many answers of the faulty backend one is broken off of: 3 in 100.
	spoiledOneIn = 33
	// behind is the number of requests that a client sends behind a download.
	behind = 3
)

// pipelined is what a client got for the requests that it sent behind a download.
type pipelined struct {
	ids      []string
	answered int
	closed   error
}

func init() { cases["cut-download"] = cutDownload }

// cutDownload lets one of three backends break off 3 in 100 of its answers. Clients send idempotent requests
// behind downloads on kept connections.
func cutDownload(r *record, trouble bool) []string {
	c := newCluster(r)
	defer c.stop()
	var backends []*backend
	for i := range 3 {
		n := c.addNode(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i+1), "s")
		b := startBackend(n, fmt.Sprintf("i-%d", i+1), nil)
		backends = append(backends, b)
		b.serveRaw(trouble && i == 0)
	}
	c.awaitReady()
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var results []pipelined
	var group sync.WaitGroup
	last := 0
	end := time.Now().Add(45 * time.Second)
	for worker := range 6 {
		group.Go(func() {
			for time.Now().Before(end) {
				list := keptConnection(r, c.nodes[worker%3], func() string {
					mu.Lock()
					defer mu.Unlock()
					last++
					return fmt.Sprintf("%016x", last)
				}, end)
				mu.Lock()
				results = append(results, list...)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	var violations []string
	sent, answered := 0, 0
	for _, p := range results {
		sent += len(p.ids)
		answered += p.answered
		for _, id := range p.ids[p.answered:] {
			for _, b := range backends[1:] {
				b.mu.Lock()
				ran := b.runs[id]
				b.mu.Unlock()
				if ran > 0 {
					violations = append(violations, fmt.Sprintf(
						"LOST: request %s was passed on to the sound backend %s; the node closed the kept connection without an answer (%v)", id, b.id, p.closed))
				}
			}
		}
	}
	r.printf("%d requests sent behind downloads, %d answered", sent, answered)
	if sent < 200 || answered < sent/2 {
		must(fmt.Errorf("only %d of %d requests were answered", answered, sent))
	}
	// The rule is broken by more than three.
	if len(violations) <= 3 {
		r.printf("only %d requests without an answer: the rule held", len(violations))
		return nil
	}
	return violations
}

// keptConnection opens a connection and uses it until it is closed or the time is over. It returns what became
// of the requests that it sent behind downloads.
func keptConnection(r *record, n *node, newID func() string, end time.Time) []pipelined {
	connection, err := net.DialTimeout("tcp", n.callers, time.Second)
	must(err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	request := func(path string) (string, string) {
		id := newID()
		return id, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Timeout-Ms: 2000\r\n\r\n", path, id)
	}
	// The first request makes the connection a kept one.
	id, text := request("/read/first")
	if _, err := io.WriteString(connection, text); err != nil || readAnswer(r, reader, id) != nil {
		return nil
	}
	var results []pipelined
	for time.Now().Before(end) {
		var p pipelined
		var batch strings.Builder
		manual, text := request("/manual/x")
		batch.WriteString(text)
		for range behind {
			id, text := request("/read/x")
			p.ids = append(p.ids, id)
			batch.WriteString(text)
		}
		r.printf("client: %s download and behind it %s at %s", manual, strings.Join(p.ids, " "), n.name)
		if _, err := io.WriteString(connection, batch.String()); err != nil {
			return results
		}
		p.closed = readAnswer(r, reader, manual)
		for p.closed == nil && p.answered < len(p.ids) {
			if p.closed = readAnswer(r, reader, p.ids[p.answered]); p.closed == nil {
				p.answered++
			}
		}
		results = append(results, p)
		if p.closed != nil {
			return results
		}
		time.Sleep(100 * time.Millisecond)
	}
	return results
}

// readAnswer reads the whole answer to a request.
func readAnswer(r *record, reader *bufio.Reader, id string) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.printf("client: %s -> connection closed without an answer: %v", id, err)
		return err
	}
	n, err := io.Copy(io.Discard, response.Body)
	r.printf("client: %s -> %d, %d bytes, error %v", id, response.StatusCode, n, err)
	if err == nil && response.Close {
		err = io.EOF
	}
	return err
}

// serveRaw makes the backend serve its requests on a listener of its own, whose answers it can break off.
func (b *backend) serveRaw(faulty bool) {
	l, err := net.Listen("tcp", loopbackIP()+":0")
	must(err)
	var mu sync.Mutex
	answers := 0
	spoil := func() bool {
		mu.Lock()
		defer mu.Unlock()
		answers++
		return faulty && answers%spoiledOneIn == 0
	}
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go b.serveConnection(connection, spoil)
		}
	}()
	b.mu.Lock()
	b.address = l.Addr().String()
	b.mu.Unlock()
}

func (b *backend) serveConnection(connection net.Conn, spoil func() bool) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Attempt-Id")
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
		b.record.printf("%s: runs %s %s", b.id, id, request.URL.Path)
		time.Sleep(workTime)
		text := b.id + " " + request.URL.Path
		if strings.HasPrefix(request.URL.Path, "/manual/") {
			text = strings.Repeat("manual. ", manualBytes/8)
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Seal: seal-%s\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n", id, id, len(text))
		spoiled := spoil()
		if spoiled {
			b.record.printf("%s: breaks off the answer to %s", b.id, id)
			text = text[:len(text)*3/4]
		}
		if _, err := io.WriteString(connection, head); err != nil {
			return
		}
		// A download is sent in pieces over some time, as over a link.
		for len(text) > 0 {
			piece := text[:min(len(text), 20_000)]
			if _, err := io.WriteString(connection, piece); err != nil {
				return
			}
			if text = text[len(piece):]; len(text) > 0 {
				time.Sleep(5 * time.Millisecond)
			}
		}
		if spoiled {
			return
		}
	}
}

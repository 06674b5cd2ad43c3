package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	id     string
	status int
	seal   string
	text   string
	err    error
	sent   time.Time
	took   time.Duration
}

// client sends requests to the nodes' caller addresses.
type client struct {
	record *record
	last   atomic.Int64
	mu     sync.Mutex
	all    []answer
}

// send sends one request; a negative key sends no X-Shard-Key.
func (c *client) send(n *node, method, path string, key int, timeout time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", c.last.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, nil)
	must(err)
	request.Host = "a.example"
	request.Close = true
	request.Header.Set("X-Attempt-Id", a.id)
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if key >= 0 {
		request.Header.Set("X-Shard-Key", fmt.Sprint(key))
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		a.status, a.seal, a.text = response.StatusCode, response.Header.Get("X-Response-Seal"), string(data)
	}
	a.err, a.took = err, time.Since(a.sent)
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	c.record.printf("client: %s %s %s key %d at %s -> %d seal %q body %q err %v, %d ms", a.id, method, path, key, n.name, a.status, a.seal,
		strings.TrimSpace(firstBytes(a.text)), err, a.took.Milliseconds())
	return a
}

func firstBytes(s string) string {
	if len(s) > 60 {
		return s[:60]
	}
	return s
}

// awaitServed waits until each node serves sample keys of the keyed service.
func (c *client) awaitServed(nodes []*node, within time.Duration) {
	deadline := time.Now().Add(within)
	for _, n := range nodes {
		for key := 0; key < 65536; key += 8191 {
			for c.send(n, http.MethodGet, "/look/x", key, time.Second).status != http.StatusOK {
				if time.Now().After(deadline) {
					must(fmt.Errorf("key %d is not served through %s", key, n.name))
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// load sends requests at the interval until the returned function is called.
func (c *client) load(nodes []*node, interval time.Duration, send func(n *node, i int)) (stop func()) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
			group.Go(func() { send(nodes[i%len(nodes)], i) })
		}
	})
	return func() {
		close(ended)
		group.Wait()
	}
}

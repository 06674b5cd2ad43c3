package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// request is one attempt of a client.
type request struct {
	id, method, path string
	key              int
	body             []byte
	timeout          time.Duration
	header           []string
}

func newRequest(method, path string) *request {
	return &request{id: fmt.Sprintf("%016x", 0xa0000000+lastAttempt.Add(1)), method: method, path: path, key: -1, timeout: 1500 * time.Millisecond}
}

// text returns the request as it is sent.
func (r *request) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Timeout-Ms: %d\r\n", r.method, r.path, r.id, r.timeout.Milliseconds())
	if r.key >= 0 {
		fmt.Fprintf(&b, "X-Shard-Key: %d\r\n", r.key)
	}
	for _, line := range r.header {
		b.WriteString(line + "\r\n")
	}
	if r.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// answer is what a client got; status is zero if the connection ended without a complete answer.
type answer struct {
	status int
	id     string
	seal   string
	body   string
	err    error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d id=%q seal=%q %q", a.status, a.id, a.seal, strings.TrimSpace(a.body[:min(len(a.body), 40)]))
}

// readAnswer reads one answer.
func readAnswer(reader *bufio.Reader, r *request) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, id: response.Header.Get("X-Attempt-Id"), seal: response.Header.Get("X-Response-Seal"), body: string(content)}
}

// send sends the request on a connection of its own and returns the answer.
func (r *request) send(address string) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.timeout + time.Second))
	if _, err := c.Write(r.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), r)
}

package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// unframedAnswer has no length: it ends with its connection.
const unframedAnswer = "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart"

// writeFirstConn is a connection whose failing write comes before the read that finds its end. Which of the two the
// kernel tells about a reset is otherwise a matter of luck.
type writeFirstConn struct {
	net.Conn
	// read is closed when the whole answer has been read, writeFailed when a write has failed, and ended when a read has.
	read, writeFailed, ended chan struct{}
	received                 int
}

// Read implements net.Conn.
func (c *writeFirstConn) Read(p []byte) (int, error) {
	if c.received == len(unframedAnswer) {
		close(c.read)
		<-c.writeFailed
	}
	n, err := c.Conn.Read(p)
	c.received += n
	if err != nil {
		close(c.ended)
	}
	return n, err
}

// Write implements net.Conn.
func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.writeFailed)
		<-c.ended
	}
	return n, err
}

// upload sends a long body to a server that writes unframedAnswer without reading the body, and calls end once that has
// been received. It returns the body of the answer as the pool reads it.
func upload(t *testing.T, end func(*net.TCPConn)) (string, error) {
	t.Helper()
	read := make(chan struct{})
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, unframedAnswer)
		<-read
		end(c.(*net.TCPConn))
	})
	dials := 0
	p := newPool(&dials)
	p.reserve(address)
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c := p.newConn(&writeFirstConn{
		Conn: connection, read: read, writeFailed: make(chan struct{}), ended: make(chan struct{}),
	}, address)
	c.expires = time.Now().Add(time.Minute)
	p.hosts[address].idle = []*conn{c}
	// The body exceeds what the connection buffers, so that it is still being written when the connection ends.
	request, err := http.NewRequest(http.MethodPost, "http://target/a", strings.NewReader(strings.Repeat("x", 64<<20)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := p.Do(context.Background(), Call{Address: address, Request: request})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// TestUnframedAnswerThatIsResetDuringTheUploadIsTruncated guards against a part of an answer that is taken for all of it
// because the write of the request's body, and not the read of the answer, got the connection's error.
func TestUnframedAnswerThatIsResetDuringTheUploadIsTruncated(t *testing.T) {
	got, err := upload(t, func(c *net.TCPConn) { _ = c.SetLinger(0) })
	if err == nil || got != "part" {
		t.Errorf("got %q, %v, want an error behind the part", got, err)
	}
}

// TestUnframedAnswerThatEndsBeforeAResetIsWhole guards against losing a whole answer of a server that closes its side
// behind it and does not read the rest of the upload.
func TestUnframedAnswerThatEndsBeforeAResetIsWhole(t *testing.T) {
	got, err := upload(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_ = c.SetLinger(0)
	})
	if err != nil || got != "part" {
		t.Errorf("got %q, %v, want the answer", got, err)
	}
}

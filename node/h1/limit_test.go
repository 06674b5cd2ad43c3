package h1

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestIdleConnectionThatReceivesBytesIsClosed(t *testing.T) {
	closed := make(chan struct{})
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeAnswer(c, request.Header.Get("Id"), "one")
		time.Sleep(50 * time.Millisecond)
		garbage := []byte(strings.Repeat("x", 1000))
		for err == nil {
			_, err = c.Write(garbage)
		}
		close(closed)
	})
	dials := 0
	if text, err := get(t, newPool(&dials), address, "a"); err != nil || text != "one" {
		t.Fatalf("got %q, %v", text, err)
	}
	select {
	case <-closed:
	case <-time.After(2*sweepInterval + time.Second):
		t.Error("the connection is still open")
	}
}

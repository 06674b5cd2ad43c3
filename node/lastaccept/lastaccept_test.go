package lastaccept

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestWaitingConnectionsAreTaken closes a listener on which connections wait that have sent
// something: each is accepted afterwards and can be answered.
func TestWaitingConnectionsAreTaken(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, err := Wrap(tcp)
	if err != nil {
		t.Fatal(err)
	}
	const count = 20
	var callers []net.Conn
	for range count {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
	}
	time.Sleep(50 * time.Millisecond)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for range count {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(c, io.LimitReader(c, 1)); err != nil {
			t.Error(err)
		}
		_ = c.Close()
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the last one: %v", err)
	}
	for _, c := range callers {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if answer, err := io.ReadAll(c); err != nil || string(answer) != "x" {
			t.Errorf("got %q, %v", answer, err)
		}
	}
	if err := l.Close(); err != nil {
		t.Errorf("a second close: %v", err)
	}
}

func TestWrapTakesTCPOnly(t *testing.T) {
	if _, err := Wrap(nil); err == nil {
		t.Error("no error")
	}
}

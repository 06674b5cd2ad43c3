package voting

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/ownership"
)

// TestAsk checks that a request for a vote reaches the named voter unchanged and its vote comes
// back, and that a node answers no for another voter.
func TestAsk(t *testing.T) {
	var got ownership.VoteRequest
	vote := func(q ownership.VoteRequest) bool {
		got = q
		return q.Version == 7
	}
	server := httptest.NewServer(Handler("vm-2", vote))
	defer server.Close()
	address := server.Listener.Addr().String()
	client := NewClient(h1.NewPool(h1.Options{DialTimeout: time.Second, IdleTimeout: time.Second, UnackedTimeout: time.Second, MaxConns: 4}))
	for _, c := range []struct {
		voter string
		q     ownership.VoteRequest
		want  bool
	}{
		{"vm-2", ownership.VoteRequest{Owner: "vm-1", Version: 7}, true},
		{"vm-2", ownership.VoteRequest{Owner: "vm-1", Version: 8, Revoked: true}, false},
		{"vm-3", ownership.VoteRequest{Owner: "vm-1", Version: 7}, false},
	} {
		yes, err := client.Ask(context.Background(), c.voter, address, c.q)
		if err != nil || yes != c.want {
			t.Errorf("%s %+v: %v, %v", c.voter, c.q, yes, err)
		}
	}
	if (got != ownership.VoteRequest{Owner: "vm-1", Version: 8, Revoked: true}) {
		t.Errorf("the voter was asked %+v", got)
	}
}

// TestAskWithoutAnswer checks that a refused connection and a malformed response are errors rather
// than votes.
func TestAskWithoutAnswer(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }))
	defer broken.Close()
	client := NewClient(h1.NewPool(h1.Options{DialTimeout: time.Second, IdleTimeout: time.Second, UnackedTimeout: time.Second, MaxConns: 4}))
	for _, address := range []string{closed.Addr().String(), broken.Listener.Addr().String()} {
		if yes, err := client.Ask(context.Background(), "vm-2", address, ownership.VoteRequest{}); yes || err == nil {
			t.Errorf("%s: %v, %v", address, yes, errors.Unwrap(err))
		}
	}
}

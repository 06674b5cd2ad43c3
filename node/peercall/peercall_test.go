package peercall

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/h1"
)

// TestBrokenResponseIsNoAnswer guards against using a response whose head HTTP does not allow, or a part of one.
func TestBrokenResponseIsNoAnswer(t *testing.T) {
	const body = `{"n":1}`
	for name, text := range map[string]string{
		"status 000":              "HTTP/1.1 000 x\r\nContent-Length: 7\r\n\r\n" + body,
		"blank in a name":         "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 7\r\n\r\n" + body,
		"folded line":             "HTTP/1.1 200 OK\r\nX: y\r\n Z: z\r\nContent-Length: 7\r\n\r\n" + body,
		"control byte in a name":  "HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: 7\r\n\r\n" + body,
		"cut, without a length":   "HTTP/1.1 200 OK\r\n\r\n" + body[:6],
		"cut, with a length":      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + body,
		"blank behind the coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n7\r\n" + body + "\r\n0\r\n\r\n",
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, text)
		}))
		pool := h1.NewPool(h1.Options{DialTimeout: time.Second, IdleTimeout: time.Second, UnackedTimeout: time.Second, MaxConns: 1})
		var answer struct {
			N int `json:"n"`
		}
		if err := Do(context.Background(), pool, server.Listener.Addr().String(), "/x", struct{}{}, &answer); !errors.Is(err, ErrNoAnswer) {
			t.Errorf("%s: answer %+v, error %v", name, answer, err)
		}
		server.Close()
	}
}

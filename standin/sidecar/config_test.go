package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburnrelay/auburnrelay/platform/body"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

// configBound is the time after its acknowledgement within which a configuration must be in force
// on every node of the larger deployments.
const configBound = 3 * time.Second

// linkChunkBytes is the unit in which connections share a link.
const linkChunkBytes = 4 << 10

// sharedLink is a listener whose connections share one limit on the bytes that they send.
type sharedLink struct {
	net.Listener
	bytes *rate.Limiter
}

func (l *sharedLink) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sharedConn{Conn: c, bytes: l.bytes}, nil
}

type sharedConn struct {
	net.Conn
	bytes *rate.Limiter
}

func (c *sharedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+linkChunkBytes)]
		if err := c.bytes.WaitN(context.Background(), len(chunk)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// newDeploymentBehindLink returns a deployment without nodes whose store is reached over a shared
// link, and the limit of that link in bytes per second.
func newDeploymentBehindLink(t *testing.T) (*deployment, *rate.Limiter) {
	t.Helper()
	limit := rate.NewLimiter(rate.Inf, linkChunkBytes)
	server := httptest.NewUnstartedServer(store.New(store.Options{Encoding: body.CBOR}))
	server.Listener = &sharedLink{Listener: server.Listener, bytes: limit}
	server.Start()
	t.Cleanup(server.Close)
	s := &deployment{t: t, storeURL: server.URL, recorder: newRecorder()}
	s.configure(1)
	return s, limit
}

// largeConfig returns a configuration with that many further routes.
func largeConfig(version, routes int) string {
	var further strings.Builder
	for i := range routes {
		fmt.Fprintf(&further, `{"name":"r-%07d","kind":"idempotent","slo-s":0.6,"priority":2,"match":{"path-prefix":"/route%07d/"},`+
			`"action":{"service":"s","timeout-s":1.5,"attempts":2}},`, i, i)
	}
	return strings.Replace(fmt.Sprintf(configText, version), `"rules":[`, `"rules":[`+further.String(), 1)
}

// awaitRoute sends requests until the node answers a path with anything but 404. It returns false if
// the node still answers 404 after the deadline.
func (s *deployment) awaitRoute(n *node, path string, deadline time.Time) bool {
	for {
		status, _ := s.send(n, http.MethodGet, path, -1)
		if status != 0 && status != http.StatusNotFound {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestLargeConfigurationIsNotDelayedByASharedLink(t *testing.T) {
	s, limit := newDeploymentBehindLink(t)
	for i := range 12 {
		s.addNode(fmt.Sprintf("vm-%02d", i+1), "s")
	}
	for _, n := range s.nodes {
		if !s.awaitRoute(n, "/read/", time.Now().Add(10*time.Second)) {
			t.Fatalf("%s serves no request", n.name)
		}
	}
	// Starting nodes read the entries of the others more often.
	time.Sleep(6 * time.Second)
	const linkBytesPerSecond = 600_000
	limit.SetLimit(linkBytesPerSecond)
	s.putConfig(2, largeConfig(2, 1440))
	deadline := time.Now().Add(configBound)
	late := 0
	for _, n := range s.nodes {
		if !s.awaitRoute(n, "/route0001439/", deadline) {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d nodes answer 404 for an added route %v after its acknowledgement", late, len(s.nodes), configBound)
	}
}

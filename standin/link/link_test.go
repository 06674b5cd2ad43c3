package link

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const testDeadline = 5 * time.Second

var (
	debrecen = Place{Region: "alfold", FailureDomain: "debrecen"}
	szeged   = Place{Region: "alfold", FailureDomain: "szeged"}
	gyor     = Place{Region: "dunantul", FailureDomain: "gyor"}
)

// startRelay starts a relay with the routes of the plan and then one route from each place to an echo server
// in Debrecen.
func startRelay(t *testing.T, plan Plan) *Relay {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				conn.Close()
			}()
		}
	}()
	for _, from := range []Place{debrecen, szeged, gyor} {
		plan.Routes = append(plan.Routes, Route{
			Listen: "127.0.0.1:0", To: server.Addr().String(), ToPlace: debrecen, From: from,
		})
	}
	r, err := Listen(plan)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return r
}

const (
	fromDebrecen = iota
	fromSzeged
	fromGyor
)

func dial(t *testing.T, r *Relay, route int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address(route))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testDeadline))
	return conn
}

// roundTrip sends the text and returns how long it took to come back.
func roundTrip(t *testing.T, conn net.Conn, text string) time.Duration {
	t.Helper()
	began := time.Now()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	back := make([]byte, len(text))
	if _, err := io.ReadFull(conn, back); err != nil || string(back) != text {
		t.Fatalf("echo of %d bytes failed or differs: %v", len(back), err)
	}
	return time.Since(began)
}

// TestDelays checks the round-trip time within a failure domain, between failure domains and between
// regions.
func TestDelays(t *testing.T) {
	const domain, region = 20 * time.Millisecond, 60 * time.Millisecond
	r := startRelay(t, Plan{DomainDelayMS: 20, RegionDelayMS: 60, RegionMbits: 1000})
	for route, oneWay := range map[int]time.Duration{fromDebrecen: 0, fromSzeged: domain, fromGyor: region} {
		conn := dial(t, r, route)
		took := testDeadline
		for range 5 {
			took = min(took, roundTrip(t, conn, "x"))
		}
		if took < 2*oneWay || took > 2*oneWay+domain {
			t.Errorf("route %d: round trip took %v, want twice %v", route, took, oneWay)
		}
	}
}

// TestRegionRateIsSharedAndCounted checks that two connections share the rate between regions and that
// their bytes are counted in each direction.
func TestRegionRateIsSharedAndCounted(t *testing.T) {
	const size, mbits = 100_000, 8.0
	r := startRelay(t, Plan{RegionMbits: mbits})
	began := time.Now()
	done := make(chan struct{}, 2)
	for range 2 {
		conn := dial(t, r, fromGyor)
		go func() {
			roundTrip(t, conn, strings.Repeat("x", size))
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	// Two connections share 1 MB/s in each direction.
	if took, least := time.Since(began), 180*time.Millisecond; took < least {
		t.Errorf("two transfers took %v, want at least %v", took, least)
	}
	for _, lane := range r.Stats().Lanes {
		if lane.Bytes != 2*size {
			t.Errorf("lane from %s to %s counted %d bytes", lane.From, lane.To, lane.Bytes)
		}
	}
	if n := len(r.Stats().Lanes); n != 2 {
		t.Errorf("%d lanes, want one in each direction", n)
	}
}

// TestShortMessageWaitsBehindTheBuffer fills the send buffer of a region link. A message on another
// connection must wait until the buffer has drained, but no longer.
func TestShortMessageWaitsBehindTheBuffer(t *testing.T) {
	const mbits = 40.0
	full := time.Duration(bufferBytes / (mbits * bytesPerMegabit) * float64(time.Second))
	r := startRelay(t, Plan{RegionMbits: mbits})
	long, short := dial(t, r, fromGyor), dial(t, r, fromGyor)
	roundTrip(t, short, "x")
	go func() { _, _ = long.Write(make([]byte, 16*bufferBytes)) }()
	go func() { _, _ = io.Copy(io.Discard, long) }()
	var worst time.Duration
	for began := time.Now(); time.Since(began) < 4*full; {
		worst = max(worst, roundTrip(t, short, "x"))
	}
	// The lower limit is half of the drain time because a reader may start late. The upper limit is
	// above twice that time because a round trip crosses two buffers.
	if worst < full/2 || worst > 3*full {
		t.Errorf("longest round trip %v, a full buffer drains in %v", worst, full)
	}
}

// TestCutsStallAndHeal checks that a cut stalls the connections between the places, open and new ones, and
// no others, and that their data is delivered once the cut is healed.
func TestCutsStallAndHeal(t *testing.T) {
	rows := []struct {
		name, a, b string
		stalled    []int
		flowing    []int
	}{
		{"between regions", "alfold", "dunantul", []int{fromGyor}, []int{fromDebrecen, fromSzeged}},
		{"between failure domains", "debrecen", "szeged", []int{fromSzeged}, []int{fromDebrecen, fromGyor}},
		{"a failure domain from all", "debrecen", "", []int{fromSzeged, fromGyor}, []int{fromDebrecen}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := startRelay(t, Plan{RegionMbits: 1000})
			var stalled []net.Conn
			for _, route := range row.stalled {
				conn := dial(t, r, route)
				roundTrip(t, conn, "before")
				stalled = append(stalled, conn)
			}
			r.Cut(row.a, row.b)
			for _, route := range row.stalled {
				stalled = append(stalled, dial(t, r, route))
			}
			for _, conn := range stalled {
				_, _ = io.WriteString(conn, "under the cut")
				_ = conn.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
				if n, _ := conn.Read(make([]byte, 1)); n != 0 {
					t.Error("bytes crossed the cut")
				}
			}
			for _, route := range row.flowing {
				roundTrip(t, dial(t, r, route), "beside the cut")
			}
			r.Heal(row.b, row.a)
			for _, conn := range stalled {
				_ = conn.SetReadDeadline(time.Now().Add(testDeadline))
				back := make([]byte, len("under the cut"))
				if _, err := io.ReadFull(conn, back); err != nil || string(back) != "under the cut" {
					t.Errorf("after the heal: read %q, error %v", back, err)
				}
			}
		})
	}
}

// TestRefusedConnectionIsReset checks that a client sees a reset when nothing listens at the route's
// address.
func TestRefusedConnectionIsReset(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	r := startRelay(t, Plan{RegionMbits: 1000, Routes: []Route{
		{Listen: "127.0.0.1:0", To: closed.Addr().String(), ToPlace: debrecen, From: szeged},
	}})
	conn, err := net.Dial("tcp", r.Address(0))
	if err == nil {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testDeadline))
		_, err = conn.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got error %v, want a connection reset", err)
	}
}

// TestInvalidPlans checks that Listen rejects a plan that would relay with wrong delays, rates or places.
func TestInvalidPlans(t *testing.T) {
	for name, plan := range map[string]Plan{
		"no rate":                          {},
		"a place without an IP address":    {RegionMbits: 1, Places: map[string]Place{"x": debrecen}},
		"a route without a target address": {RegionMbits: 1, Routes: []Route{{Listen: "127.0.0.1:0", ToPlace: debrecen}}},
		"a negative delay":                 {RegionMbits: 1, DomainDelayMS: -1},
	} {
		if _, err := Listen(plan); !errors.Is(err, ErrPlan) {
			t.Errorf("plan with %s: got error %v, want ErrPlan", name, err)
		}
	}
}

package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

const (
	// controlBudget is the maximum control traffic of a node, in bytes per second.
	controlBudget = 21000
	// packetHeader is the size of the IP and TCP headers including TCP timestamps, in bytes.
	packetHeader = 52
)

// connTracker records the connections between nodes, so that the kernel's TCP counters can be read.
type connTracker struct {
	mu    sync.Mutex
	conns map[string][]*net.TCPConn
}

// dial returns a dialer that records each connection under the addresses of both ends.
func (w *connTracker) dial(self string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if tcp, ok := conn.(*net.TCPConn); ok {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.conns[self] = append(w.conns[self], tcp)
			w.conns[address] = append(w.conns[address], tcp)
		}
		return conn, err
	}
}

// tcpCounters returns the payload bytes and the segments sent and received by an address.
func (w *connTracker) tcpCounters(address string) (bytes, segments float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns[address] {
		raw, err := conn.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				bytes += float64(info.Bytes_acked + info.Bytes_received)
				segments += float64(info.Segs_in + info.Segs_out)
			}
		})
	}
	return bytes, segments
}

func processCPU() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestControlBudget measures the traffic of the controller of an idle cell, including headers and
// acknowledgements, and checks it against the budget for a cell of 24 nodes. If CONTROL_SIZES is
// set, it measures other sizes too.
func TestControlBudget(t *testing.T) {
	sizes := []int{24}
	if os.Getenv("CONTROL_SIZES") != "" {
		sizes = []int{4, 8, 16, 24, 32}
	}
	for _, size := range sizes {
		perSecond := controlBytes(t, size)
		if size == 24 && perSecond > controlBudget {
			t.Errorf("controller of %d nodes: %.0f B/s, budget %d", size, perSecond, controlBudget)
		}
	}
}

func controlBytes(t *testing.T, size int) float64 {
	t.Helper()
	store := memstore.New(memstore.Options{})
	putSheet(t, store, 0, "alfold")
	tracker := &connTracker{conns: make(map[string][]*net.TCPConn)}
	var nodes []*testNode
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, startNodeOn(t, l, store, fmt.Sprintf("vm-%02d", i), strconv.Itoa(i%2), "alfold", tracker.dial(l.Addr().String())))
	}
	waitFor(t, "all slices served", 20*time.Second, func() bool { return served(t, nodes) == testSlices })
	settled := nodes[0].control.Status().Owners
	start := time.Now()
	for quietSince := start; time.Since(quietSince) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > 30*time.Second {
			t.Fatal("the cell does not settle")
		}
		if now := nodes[0].control.Status().Owners; fmt.Sprint(now) != fmt.Sprint(settled) {
			settled, quietSince = now, time.Now()
		}
	}
	const interval = 4 * time.Second
	address := nodes[indexOfRole(nodes, "controller")].control.Self().Address
	bytes, segments := tracker.tcpCounters(address)
	cpu := processCPU()
	time.Sleep(interval)
	bytesAfter, segmentsAfter := tracker.tcpCounters(address)
	payload := (bytesAfter - bytes) / interval.Seconds()
	packets := (segmentsAfter - segments) / interval.Seconds()
	used := (processCPU() - cpu).Seconds() / interval.Seconds() / float64(size)
	total := payload + packets*packetHeader
	t.Logf("%2d nodes: controller %.0f B/s payload, %.0f segments/s, %.0f B/s with headers; %.2f%% of a core for each node", size, payload, packets, total, 100*used)
	for _, n := range nodes {
		n.kill()
	}
	return total
}

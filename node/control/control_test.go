package control

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/bootclock"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// fakeHolder replaces the request side: it records leases and drains slices immediately.
type fakeHolder struct {
	mu     sync.Mutex
	leases map[keyspace.SliceID]plane.Lease
	closed map[keyspace.SliceID]fence.Fence
	target plane.TargetReport
}

func (h *fakeHolder) AdoptLeases(leases []plane.Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range leases {
		if f, ok := h.closed[l.Slice]; !ok || f.Less(l.Fence) {
			h.leases[l.Slice] = l
		}
	}
}

func (h *fakeHolder) EndLeases(slices []keyspace.SliceID, _ string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range slices {
		delete(h.leases, id)
	}
}

func (h *fakeHolder) Abandon(slices []keyspace.SliceID, reason string) bool {
	h.EndLeases(slices, reason)
	return true
}

func (h *fakeHolder) Drain(slice keyspace.SliceID, done func([]byte)) {
	h.mu.Lock()
	h.closed[slice] = h.leases[slice].Fence
	delete(h.leases, slice)
	h.mu.Unlock()
	done([]byte("window of " + slice.String()))
}

func (h *fakeHolder) Report() plane.TargetReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.target
}

func (h *fakeHolder) SliceLoads() []plane.SliceLoad { return nil }

// liveLeases returns the leases that have not lapsed, by slice.
func (h *fakeHolder) liveLeases() map[keyspace.SliceID]plane.Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := bootclock.Now()
	out := make(map[keyspace.SliceID]plane.Lease)
	for id, l := range h.leases {
		if l.Until > now {
			out[id] = l
		}
	}
	return out
}

// testNode is one node with a real gRPC listener on the loopback interface.
type testNode struct {
	control *Control
	holder  *fakeHolder
	cancel  context.CancelFunc
	done    chan struct{}
	server  *grpc.Server
}

// kill stops the node without a planned leave; its address then refuses connections.
func (n *testNode) kill() {
	n.server.Stop()
	n.cancel()
	<-n.done
}

func startNode(t *testing.T, store objects.Store, name, domain, cellName string) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startNodeOn(t, listener, store, name, domain, cellName, nil)
}

func startNodeOn(t *testing.T, listener net.Listener, store objects.Store, name, domain, cellName string, dial func(context.Context, string) (net.Conn, error)) *testNode {
	t.Helper()
	holder := &fakeHolder{
		leases: make(map[keyspace.SliceID]plane.Lease),
		closed: make(map[keyspace.SliceID]fence.Fence),
		target: plane.TargetReport{State: plane.TargetReady, Incarnation: 1, Slots: 6, ChecksFences: true},
	}
	level := slog.LevelError
	if os.Getenv("AUBURNRELAY_TEST_LOG") != "" {
		level = slog.LevelInfo
	}
	self := plane.Peer{
		Name: name, Incarnation: NewIncarnation(), Address: listener.Addr().String(),
		EntryAddress: "127.0.0.1:1", Region: "alfold", FailureDomain: domain, Cell: cellName,
	}
	c, err := New(Config{
		Self: self, Cluster: "test", Cell: cellName, Dial: dial,
		Logger: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})),
	}, store, holder)
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{control: c, holder: holder, done: make(chan struct{}), server: grpc.NewServer(ServerOptions()...)}
	c.Register(n.server)
	go func() { _ = n.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(n.kill)
	return n
}

const testSlices = 32

func putSheet(t *testing.T, store objects.Store, expected objects.Version, cellName string) objects.Version {
	t.Helper()
	r := keyspace.Range{Service: "booking", Kind: keyspace.Keyed, Region: "alfold", Cell: cellName, Slices: testSlices, Line: 2}
	s := storedSheet{Layout: keyspace.Layout{Services: []keyspace.Service{{Name: "booking", Kind: keyspace.Keyed, Ranges: []keyspace.Range{r}}}}}
	value, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	version, err := store.Put(context.Background(), sheetKey, value, expected, fmt.Sprintf("sheet-%d", expected))
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// waitFor polls until the condition holds and returns the time that it took; it fails the test
// after the limit.
func waitFor(t *testing.T, what string, limit time.Duration, cond func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < limit {
		if cond() {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: condition not met within %v", what, limit)
	return 0
}

// served returns the number of slices with an unexpired lease; it fails the test if two nodes hold
// the same slice.
func served(t *testing.T, nodes []*testNode) int {
	t.Helper()
	holders := make(map[keyspace.SliceID]string)
	for _, n := range nodes {
		for id := range n.holder.liveLeases() {
			if other, twice := holders[id]; twice {
				t.Errorf("slice %s is held by %s and %s", id, other, n.control.Self().Name)
			}
			holders[id] = n.control.Self().Name
		}
	}
	return len(holders)
}

func startCell(t *testing.T, store objects.Store) []*testNode {
	t.Helper()
	nodes := []*testNode{
		startNode(t, store, "vm-a", "debrecen", "alfold"),
		startNode(t, store, "vm-b", "szeged", "alfold"),
		startNode(t, store, "vm-c", "debrecen", "alfold"),
	}
	waitFor(t, "all slices served by three nodes", 10*time.Second, func() bool {
		for _, n := range nodes {
			if len(n.holder.liveLeases()) < testSlices/3 {
				return false
			}
		}
		return served(t, nodes) == testSlices
	})
	return nodes
}

func TestCellServesAndRecovers(t *testing.T) {
	store := memstore.New(memstore.Options{})
	putSheet(t, store, 0, "alfold")
	nodes := startCell(t, store)
	for _, role := range []string{"plain", "controller"} {
		i := indexOfRole(nodes, role)
		victim := nodes[i]
		nodes = append(nodes[:i], nodes[i+1:]...)
		victim.kill()
		took := waitFor(t, "served again after losing the "+role, 3*time.Second, func() bool {
			return served(t, nodes) == testSlices
		})
		t.Logf("served again %v after the loss of the %s", took, role)
	}
}

// indexOfRole returns the index of the controller, or of a node that is neither controller nor
// standby.
func indexOfRole(nodes []*testNode, role string) int {
	status := nodes[0].control.Status()
	for i, n := range nodes {
		name := n.control.Self().Name
		isController := name == status.Controller
		if role == "controller" && isController {
			return i
		}
		if role == "plain" && !isController && name != standbyOf(nodes) {
			return i
		}
	}
	return 0
}

func standbyOf(nodes []*testNode) string {
	for _, n := range nodes {
		if s := n.control.Status(); s.IsController {
			return s.Standby
		}
	}
	return ""
}

func TestLeaveHandsOver(t *testing.T) {
	store := memstore.New(memstore.Options{})
	putSheet(t, store, 0, "alfold")
	nodes := startCell(t, store)
	for len(nodes) > 1 {
		i := indexOfRole(nodes, "controller")
		leaving := nodes[i]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if err := leaving.control.Leave(ctx); err != nil {
			t.Fatalf("leave of %s: %v", leaving.control.Self().Name, err)
		}
		cancel()
		nodes = append(nodes[:i], nodes[i+1:]...)
		waitFor(t, "all slices served by the remaining nodes", time.Second, func() bool { return served(t, nodes) == testSlices })
		leaving.kill()
	}
}

func TestLocateOfOwnCell(t *testing.T) {
	store := memstore.New(memstore.Options{})
	putSheet(t, store, 0, "alfold")
	nodes := startCell(t, store)
	for _, n := range nodes {
		waitFor(t, "routes", 2*time.Second, func() bool {
			r, err := n.control.Locate("booking", "bay-7")
			return err == nil && r.Owner.Name != "" && r.Owner.Address != ""
		})
	}
	first, _ := nodes[0].control.Locate("booking", "bay-7")
	second, _ := nodes[2].control.Locate("booking", "bay-7")
	if first.Owner.Name != second.Owner.Name {
		t.Errorf("nodes disagree on the owner: %s, %s", first.Owner.Name, second.Owner.Name)
	}
}

// TestLapseDatesTheNextGrantAnew ends a node's leases by a clock jump, which also drops the
// window of request ids. When the node is granted the same assignment again, FirstAt must be later
// than the jump, so that ids minted before it are refused.
func TestLapseDatesTheNextGrantAnew(t *testing.T) {
	store := memstore.New(memstore.Options{})
	putSheet(t, store, 0, "alfold")
	n := startNode(t, store, "vm-a", "debrecen", "alfold")
	all := []*testNode{n}
	waitFor(t, "served", 10*time.Second, func() bool { return served(t, all) == testSlices })
	ended := time.Now()
	n.control.post(cell.ClockJumped{})
	waitFor(t, "granted again", 10*time.Second, func() bool {
		for _, l := range n.holder.liveLeases() {
			if l.FirstAt.Before(ended) {
				return false
			}
		}
		return served(t, all) == testSlices
	})
}

// TestTargetAddressForOthers checks that the target's address is reported to other nodes only if
// it denotes the same VM for them: a loopback address must not be reported.
func TestTargetAddressForOthers(t *testing.T) {
	cases := map[string]string{
		"10.0.0.7:7005":  "10.0.0.7:7005",
		"127.0.0.1:7005": "",
		"":               "",
	}
	for address, want := range cases {
		holder := &fakeHolder{target: plane.TargetReport{State: plane.TargetReady, Address: address}}
		c := &Control{cfg: Config{Self: plane.Peer{EntryAddress: "10.0.0.7:7001"}}, holder: holder}
		if got := c.localTarget().Address; got != want {
			t.Errorf("target at %q: reported address %q, want %q", address, got, want)
		}
	}
}

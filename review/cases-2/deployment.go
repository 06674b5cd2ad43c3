package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/auburnrelay/auburnrelay/platform/body"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

// settingsText has the fields of deploy/node.toml.tmpl, with the bounds of sites/lszsz-mesh.toml.
const settingsText = `[node]
name = %q
region = "r"
failure_domain = %q
service = %q
memory_mb = 284
max_fds = 4100
[listen]
callers = %q
peers = %q
target = %q
ready = %q
admin = %q
[store]
url = %q
encoding = "cbor"
renew_shared_seconds = 2.4
[target]
address = %q
heartbeat_seconds = %g
[load]
ask_targets = 2
[bounds]
drain_seconds = 2
stop_seconds = 6
config_apply_seconds = 2
hold_max_seconds = 10
retry_ratio = 0.2
retry_slack = 58
retry_window_seconds = 10
`

const heartbeatSeconds = 0.87

// recorder writes record.txt. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a store, and nodes with their servers, on loopback addresses.
type deployment struct {
	rec      *recorder
	nodeBin  string
	dir      string
	store    *store.Server
	storeURL string
	nodes    []*node
}

func newDeployment(rec *recorder, nodeBin, config string) *deployment {
	dir, err := os.MkdirTemp("", "review-case-")
	must(err)
	d := &deployment{rec: rec, nodeBin: nodeBin, dir: dir, store: store.New(store.Options{Encoding: body.CBOR})}
	l := listen()
	d.storeURL = "http://" + l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	_, err = d.store.Memory().Put(context.Background(), "config/main", []byte(config), 0, "")
	must(err)
	return d
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	_ = os.RemoveAll(d.dir)
}

// node is one process of the system and the server beside it.
type node struct {
	d                                     *deployment
	name, zone                            string
	callers, peers, control, ready, admin string
	server                                *server
	storeURL                              string
	mu                                    sync.Mutex
	cmd                                   *exec.Cmd
	done                                  chan struct{}
	ended                                 int
}

// addNode starts a server of the service and a node beside it.
func (d *deployment) addNode(name, zone string, s *server) *node {
	n := &node{d: d, name: name, zone: zone, server: s, storeURL: d.storeURL,
		callers: freeAddress(), peers: freeAddress(), control: freeAddress(), ready: freeAddress(), admin: freeAddress()}
	s.node = n
	d.nodes = append(d.nodes, n)
	n.start()
	return n
}

func (n *node) start() {
	text := fmt.Sprintf(settingsText, n.name, n.zone, n.server.service, n.callers, n.peers, n.control, n.ready, n.admin, n.storeURL, n.server.address, heartbeatSeconds)
	path := filepath.Join(n.d.dir, n.name+".toml")
	must(os.WriteFile(path, []byte(text), 0o600))
	log, err := os.OpenFile(filepath.Join(n.d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(n.d.nodeBin, "sidecar")
	cmd.Env = append(os.Environ(), "AUBURNRELAY_BOOT="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

func (n *node) isRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.done
}

// isReady asks the node's ready address.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready; it reports false after 20 s.
func (d *deployment) awaitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range d.nodes {
			all = all && n.isReady()
		}
		if all {
			return true
		}
	}
	for _, n := range d.nodes {
		if log, err := os.ReadFile(filepath.Join(d.dir, n.name+".log")); err == nil && !n.isReady() {
			d.rec.printf("%s is not ready, runs: %t, log: %s", n.name, n.isRunning(), log[max(0, len(log)-500):])
		}
	}
	return false
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	return l
}

const (
	// firstPort, blockPorts and blocks describe the ports of the nodes, below those that the kernel gives to outgoing
	// connections. Each process of the review takes its ports from one of the blocks.
	firstPort, blockPorts, blocks = 12000, 100, 190
)

var lastPort atomic.Int64

// freeAddress returns an address with a port that is free and was not returned before.
func freeAddress() string {
	for {
		port := firstPort + os.Getpid()%blocks*blockPorts + int(lastPort.Add(1))%blockPorts
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

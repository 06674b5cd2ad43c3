package hostile

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/platform/body"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

const settingsText = `
[node]
name = "%s"
region = "r"
failure_domain = "z"
service = "%s"
memory_mb = %d
max_fds = %d
[listen]
callers = "%s"
peers = "%s"
target = "%s"
ready = "%s"
admin = "%s"
[store]
url = "%s"
encoding = "json"
[target]
heartbeat_seconds = 0.2
[bounds]
drain_seconds = 2
stop_seconds = 6
hold_max_seconds = 10
retry_ratio = 0.2
retry_slack = 58
retry_window_seconds = 10
`

// configText is the format of the configuration; its argument is the largest body.
const configText = `{"version":"00000001","limits":{"max-header-bytes":16384,"max-body-bytes":%d,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":"a.example","rules":[
{"name":"book","kind":"non_idempotent","slo-s":0.5,"priority":1,"match":{"path-prefix":"/book/"},"action":{"service":"k","timeout-s":2,"attempts":2}},
{"name":"look","kind":"idempotent","slo-s":0.5,"priority":2,"match":{"path-prefix":"/look/"},"action":{"service":"k","timeout-s":2,"attempts":2}},
{"name":"read","kind":"idempotent","slo-s":0.5,"priority":2,"match":{"path-prefix":"/read/"},"action":{"service":"s","timeout-s":2,"attempts":2}},
{"name":"up","kind":"upload","slo-s":5,"priority":3,"match":{"path-prefix":"/up/"},"action":{"service":"s","timeout-s":60,"attempts":2}}]}],
"clusters":[{"name":"k","health-path":"/healthz","max-conns":110,"sharded":true},{"name":"s","health-path":"/healthz","max-conns":110}]}`

// limits are the settings of a deployment that hostile clients attack.
type limits struct {
	memoryMB, fds int
	bodyBytes     int64
}

// node is a process of the system.
type node struct {
	t                                     *testing.T
	name                                  string
	callers, peers, control, ready, admin string
	limits                                limits
	cmd                                   *exec.Cmd
	exited                                chan struct{}
	log                                   string
	mostFDs                               atomic.Int64
}

// deployment has two nodes in one region: the first, which the callers use, has the target of the keyed service k, the
// second that of the shared service s.
type deployment struct {
	t       *testing.T
	nodes   []*node
	targets []*target
	lastID  atomic.Int64
}

func newDeployment(t *testing.T, l limits) *deployment {
	t.Helper()
	server := httptest.NewServer(store.New(store.Options{Encoding: body.JSON}))
	t.Cleanup(server.Close)
	d := &deployment{t: t}
	object := objectstore.Object{Meta: objectstore.Meta{Name: "main"}, Spec: body.Raw(fmt.Sprintf(configText, l.bodyBytes))}
	text, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(server.URL+"/objects/config", "application/json", bytes.NewReader(text))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("write the configuration: response %v, error %v", response, err)
	}
	response.Body.Close()
	for i, service := range []string{"k", "s"} {
		n := startNode(t, fmt.Sprintf("vm-%d", i+1), service, server.URL, l)
		d.nodes = append(d.nodes, n)
		d.targets = append(d.targets, startTarget(t, "i-"+n.name, service, n.control))
	}
	d.awaitOrdinary("before the crowd")
	return d
}

func startNode(t *testing.T, name, service, storeURL string, l limits) *node {
	t.Helper()
	a := freeAddresses(t, 5)
	n := &node{t: t, name: name, callers: a[0], peers: a[1], control: a[2], ready: a[3], admin: a[4], limits: l, exited: make(chan struct{})}
	dir := t.TempDir()
	path := filepath.Join(dir, "node.toml")
	text := fmt.Sprintf(settingsText, name, service, l.memoryMB, l.fds, a[0], a[1], a[2], a[3], a[4], storeURL)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n.log = filepath.Join(dir, "log")
	out, err := os.Create(n.log)
	if err != nil {
		t.Fatal(err)
	}
	n.cmd = exec.Command(program, "sidecar", "--settings", path)
	n.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = n.cmd.Wait()
		out.Close()
		close(n.exited)
	}()
	t.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		<-n.exited
	})
	go n.watchFDs()
	return n
}

// fdInterval is the interval between counts of a process's descriptors.
const fdInterval = 50 * time.Millisecond

// watchFDs records the most descriptors that the process had open, until it ends.
func (n *node) watchFDs() {
	for {
		select {
		case <-n.exited:
			return
		case <-time.After(fdInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
		if err == nil {
			n.mostFDs.Store(max(n.mostFDs.Load(), int64(len(entries))))
		}
	}
}

var statusKB = regexp.MustCompile(`(?m)^(VmHWM|VmRSS):\s+(\d+) kB`)

// memoryKB returns the present and the largest resident memory of the process.
func (n *node) memoryKB() (now, most int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for _, m := range statusKB.FindAllStringSubmatch(string(text), -1) {
		kb, _ := strconv.Atoi(m[2])
		if m[1] == "VmRSS" {
			now = kb
		} else {
			most = kb
		}
	}
	return now, most
}

// check fails the test if the process has ended or has exceeded its bounds.
func (n *node) check() {
	n.t.Helper()
	select {
	case <-n.exited:
		text, _ := os.ReadFile(n.log)
		n.t.Errorf("%s ended: %v\n%s", n.name, n.cmd.ProcessState, text[max(0, len(text)-2000):])
		return
	default:
	}
	now, most := n.memoryKB()
	fds := n.mostFDs.Load()
	n.t.Logf("%s: memory %.1f MiB at most, %.1f MiB at the end, of %d; descriptors %d at most, of %d",
		n.name, float64(most)/1024, float64(now)/1024, n.limits.memoryMB, fds, n.limits.fds)
	if most > n.limits.memoryMB*1024 {
		n.t.Errorf("%s: memory rose to %.1f MiB, allowed %d", n.name, float64(most)/1024, n.limits.memoryMB)
	}
	if fds > int64(n.limits.fds) {
		n.t.Errorf("%s: %d descriptors were open, allowed %d", n.name, fds, n.limits.fds)
	}
}

func (d *deployment) check() {
	d.t.Helper()
	for _, n := range d.nodes {
		n.check()
	}
}

const (
	// firstPort and ports are the ports of the nodes' listeners. They are below those that the system gives to outgoing
	// connections: once a node did not start because a connection had taken its port in the meantime.
	firstPort = 12_000
	ports     = 20_000
)

// portsGiven are the ports that freeAddresses has returned.
var portsGiven = make(map[int]bool)

// freeAddresses returns addresses at which nothing listens. It tries no port again that it has returned before: its own
// listener, or another node, would keep the port from a node that has been started and does not listen yet.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		if tries > ports {
			t.Fatal("no free port")
		}
		port := firstPort + rand.IntN(ports)
		if portsGiven[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer l.Close()
		portsGiven[port] = true
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// ordinaryClient opens a connection for each request, as a caller that has just started does.
var ordinaryClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one ordinary request through the first node; a failed one returns status 0.
func (d *deployment) send(path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.nodes[0].callers+path, nil)
	request.Host = "a.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("o-%d", d.lastID.Add(1)))
	request.Header.Set("X-Timeout-Ms", "1500")
	request.Header.Set("X-Shard-Key", "4242")
	response, err := ordinaryClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// ordinaryWait is how long an ordinary caller repeats its request before the test fails.
const ordinaryWait = 15 * time.Second

// awaitOrdinary fails the test unless a request of each kind and a readiness check are answered.
func (d *deployment) awaitOrdinary(when string) {
	d.t.Helper()
	for _, path := range []string{"/look/x", "/read/x"} {
		status, tries := 0, 0
		for began := time.Now(); status != http.StatusOK && time.Since(began) < ordinaryWait; tries++ {
			if status = d.send(path); status != http.StatusOK {
				time.Sleep(100 * time.Millisecond)
			}
		}
		if status != http.StatusOK {
			d.t.Errorf("ordinary request %s %s: not served in %v and %d tries, last status %d", path, when, ordinaryWait, tries, status)
		}
	}
	for _, n := range d.nodes {
		if err := awaitGet("http://" + n.ready + "/readyz"); err != nil {
			d.t.Errorf("readiness of %s %s: %v", n.name, when, err)
		}
		if err := awaitGet("http://" + n.admin + "/metrics"); err != nil {
			d.t.Errorf("metrics of %s %s: %v", n.name, when, err)
		}
	}
}

// awaitGet repeats a GET until it is answered with 200.
func awaitGet(url string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	var last error
	for began := time.Now(); time.Since(began) < ordinaryWait; time.Sleep(100 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			last = err
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return nil
		}
		if last = err; last == nil {
			last = fmt.Errorf("status %d", response.StatusCode)
		}
	}
	return last
}

// head returns the head of a request up to the headers that the caller adds, without the empty line.
func (d *deployment) head(method, path string) string {
	id := d.lastID.Add(1)
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: h-%d\r\nX-Shard-Key: %d\r\n", method, path, id, id*4099%65536)
}

// dialSmall connects with a small receive buffer, so that an answer that is not read stays with its sender.
func dialSmall(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 3 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	return dialer.Dial("tcp", address)
}

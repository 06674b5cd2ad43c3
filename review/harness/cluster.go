package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/auburnrelay/auburnrelay/platform/body"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

// heartbeatInterval is the heartbeat interval of the small deployments' site files.
const heartbeatInterval = 870 * time.Millisecond

// settingsText follows deploy/node.toml.tmpl with the bounds of a small deployment.
const settingsText = `
[node]
name = "%s"
region = "%s"
failure_domain = "%s"
service = "%s"
memory_mb = 284
[listen]
callers = "%s"
peers = "%s"
target = "%s"
ready = "%s"
admin = "%s"
[store]
url = "%s"
encoding = "cbor"
[target]
heartbeat_seconds = 0.87
[bounds]
drain_seconds = 2
stop_seconds = 6
hold_max_seconds = 10
retry_ratio = 0.2
retry_slack = 58
retry_window_seconds = 10
`

// configText has a keyed service k and a shared service s.
const configText = `{"version":"%08x","limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":"a.example","rules":[
{"name":"book","kind":"non_idempotent","slo-s":0.3,"priority":1,"match":{"path-prefix":"/book/"},"action":{"service":"k","timeout-s":1.5,"attempts":2}},
{"name":"look","kind":"idempotent","slo-s":0.25,"priority":2,"match":{"path-prefix":"/look/"},"action":{"service":"k","timeout-s":1.5,"attempts":2}},
{"name":"pay","kind":"non_idempotent","slo-s":0.3,"priority":1,"match":{"path-prefix":"/pay/"},"action":{"service":"s","timeout-s":1.5,"attempts":2}},
{"name":"manual","kind":"download","slo-s":0.25,"priority":2,"match":{"path-prefix":"/manual/"},"action":{"service":"s","timeout-s":1.5,"attempts":2}},
{"name":"read","kind":"idempotent","slo-s":0.25,"priority":2,"match":{"path-prefix":"/read/"},"action":{"service":"s","timeout-s":1.5,"attempts":2}}]}],
"clusters":[{"name":"k","health-path":"/healthz","max-conns":110,"sharded":true,"warm-s":5},{"name":"s","health-path":"/healthz","max-conns":110}]}`

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{file: f, began: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func must(err error) {
	if err != nil {
		panic(unrunnable{err})
	}
}

// unrunnable is the panic value of a case that could not run.
type unrunnable struct{ err error }

// cluster is a small deployment on loopback addresses: the stand-in store in this process, and the
// project's sidecar as one process for each VM.
type cluster struct {
	record   *record
	dir      string
	storeURL string
	memory   *store.Server
	nodes    []*node
}

// node is one VM with its sidecar process.
type node struct {
	cluster  *cluster
	name     string
	service  string
	callers  string
	control  string
	peers    string
	ready    string
	settings string
	process  *exec.Cmd
	done     chan struct{}
}

func newCluster(r *record) *cluster {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	c := &cluster{record: r, dir: dir}
	c.memory = store.New(store.Options{Encoding: body.CBOR})
	l, err := net.Listen("tcp", loopbackIP()+":0")
	must(err)
	c.storeURL = "http://" + l.Addr().String()
	go func() { _ = http.Serve(l, c.memory) }()
	c.putConfig(1, fmt.Sprintf(configText, 1))
	return c
}

// putConfig writes the configuration: version 1 creates it, a later one replaces it.
func (c *cluster) putConfig(version int, config string) {
	object := objectstore.Object{Meta: objectstore.Meta{Name: "main"}, Spec: body.Raw(config)}
	text, err := json.Marshal(object)
	must(err)
	data, err := body.CBOR.FromJSON(text)
	must(err)
	method, path := http.MethodPut, "/objects/config/main"
	if version == 1 {
		method, path = http.MethodPost, "/objects/config"
	}
	request, err := http.NewRequest(method, c.storeURL+path, bytes.NewReader(data))
	must(err)
	response, err := http.DefaultClient.Do(request)
	must(err)
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		must(fmt.Errorf("write the configuration: status %d", response.StatusCode))
	}
	c.record.printf("configuration %d acknowledged", version)
}

// loopbackIP returns a loopback address of this process's own, so that cases that run side by side do not take
// each other's free ports.
func loopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, 1+pid>>8&0x7f, 1+pid&0x7f)
}

// nextPort is the next port to try. Ports below the ephemeral range are not taken by outgoing connections between
// the test here and the start of the process that listens.
var nextPort = 20000

func freeAddresses(n int) []string {
	var addresses []string
	for len(addresses) < n {
		address := net.JoinHostPort(loopbackIP(), strconv.Itoa(nextPort))
		nextPort++
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		addresses = append(addresses, address)
	}
	return addresses
}

// addNode starts the sidecar of another VM.
func (c *cluster) addNode(name, domain, service string) *node {
	a := freeAddresses(5)
	n := &node{cluster: c, name: name, service: service, callers: a[0], peers: a[1], control: a[2], ready: a[3]}
	n.settings = filepath.Join(c.dir, name+".toml")
	text := fmt.Sprintf(settingsText, name, "r", domain, service, a[0], a[1], a[2], a[3], a[4], c.storeURL)
	must(os.WriteFile(n.settings, []byte(text), 0o600))
	c.nodes = append(c.nodes, n)
	n.start()
	return n
}

// start starts the process with the command of deploy/system.toml.
func (n *node) start() {
	out, err := os.OpenFile(filepath.Join(n.cluster.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.process = exec.Command("target/auburnrelay", "sidecar")
	n.process.Env = append(os.Environ(), "AUBURNRELAY_BOOT="+n.settings)
	n.process.Stdout, n.process.Stderr = out, out
	// The kernel ends the process if this one dies.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.process.Start())
	n.done = make(chan struct{})
	process, done := n.process, n.done
	n.cluster.record.printf("%s: sidecar started, pid %d", n.name, process.Process.Pid)
	go func() {
		err := process.Wait()
		n.cluster.record.printf("%s: sidecar ended: %v", n.name, err)
		out.Close()
		close(done)
	}()
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.cluster.record.printf("%s: %v", n.name, s)
	_ = n.process.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.done
}

func (n *node) isRunning() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// isReady reports whether the node answers its readiness check with 200.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (c *cluster) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range c.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				must(fmt.Errorf("%s is not ready", n.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.record.printf("all nodes are ready")
}

// stop ends all processes that the cluster started.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.isRunning() {
			_ = n.process.Process.Signal(syscall.SIGCONT)
			_ = n.process.Process.Kill()
			<-n.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

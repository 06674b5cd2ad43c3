// Program drive-3 plays the scripted case of the third review: it starts the nodes as separate processes on loopback
// addresses, with stand-ins for the platform's store, the backends and the clients, and checks one rule from what the
// stand-ins have seen.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/auburnrelay/auburnrelay/platform/body"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// heartbeatInterval is heartbeat-s of the small deployments.
const heartbeatInterval = 870 * time.Millisecond

// world is one small deployment with its record.
type world struct {
	binary, dir string
	trouble     bool
	began       time.Time
	store       *store.Server
	storeURL    string
	nodes       []*node
	ids         atomic.Int64

	mu     sync.Mutex
	record *os.File
	// runs holds the targets of the runs of each request, by id.
	runs map[string][]string
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// fatal ends a case that cannot run.
func (w *world) fatal(format string, args ...any) {
	w.note("not run: "+format, args...)
	w.end()
	os.Exit(exitNotRun)
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// finish ends all processes and the program with the result of the check.
func (w *world) finish(broken bool, format string, args ...any) {
	verdict, code := "held", exitHeld
	if broken {
		verdict, code = "BROKEN", exitBroken
	}
	w.note("%s: %s", verdict, fmt.Sprintf(format, args...))
	w.end()
	os.Exit(code)
}

// startStore starts the stand-in of the platform's store with a configuration.
func (w *world) startStore(config string) {
	w.store = store.New(store.Options{Encoding: body.CBOR})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("store: %v", err)
	}
	w.storeURL = "http://" + l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	w.configure(config)
}

// configure writes the operator's configuration to the store.
func (w *world) configure(config string) {
	text, err := json.Marshal(objectstore.Object{Meta: objectstore.Meta{Name: "main"}, Spec: body.Raw(config)})
	if err != nil {
		w.fatal("configuration: %v", err)
	}
	data, err := body.CBOR.FromJSON(text)
	if err != nil {
		w.fatal("configuration: %v", err)
	}
	request, _ := http.NewRequest(http.MethodPost, w.storeURL+"/objects/config", bytes.NewReader(data))
	response, err := http.DefaultClient.Do(request)
	if err != nil || response.StatusCode != http.StatusOK {
		w.fatal("configuration: response %v, error %v", response, err)
	}
	_ = response.Body.Close()
	w.note("configuration acknowledged")
}

// node is a node process.
type node struct {
	world                                       *world
	name                                        string
	callers, peers, control, ready, admin, file string
	command                                     *exec.Cmd
	exited                                      chan struct{}
	starts                                      int
}

const settingsText = `[node]
name = %q
region = "r1"
failure_domain = "z1"
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
heartbeat_seconds = 0.87
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

// freeAddresses returns loopback addresses with ports that are free now.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// maxStarts bounds the starts of a node whose addresses another process has taken meanwhile.
const maxStarts = 5

// addNode writes the settings of a node beside a backend at the address and starts it.
func (w *world) addNode(name, service, app string) *node {
	n := &node{world: w, name: name, file: filepath.Join(w.dir, name+".toml")}
	w.nodes = append(w.nodes, n)
	for range maxStarts {
		a, err := freeAddresses(5)
		if err != nil {
			w.fatal("addresses: %v", err)
		}
		n.callers, n.peers, n.control, n.ready, n.admin = a[0], a[1], a[2], a[3], a[4]
		text := fmt.Sprintf(settingsText, name, service, n.callers, n.peers, n.control, n.ready, n.admin, w.storeURL, app)
		if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
			w.fatal("settings: %v", err)
		}
		n.start()
		if n.hasOpened() {
			return n
		}
	}
	w.fatal("%s did not start", name)
	return nil
}

// hasOpened waits until the node takes connections, and reports whether it does.
func (n *node) hasOpened() bool {
	for range 100 {
		if n.hasExited() {
			return false
		}
		if c, err := net.Dial("tcp", n.callers); err == nil {
			_ = c.Close()
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// start starts the node's process.
func (n *node) start() {
	n.starts++
	log, err := os.Create(filepath.Join(n.world.dir, fmt.Sprintf("%s-%d.log", n.name, n.starts)))
	if err != nil {
		n.world.fatal("log: %v", err)
	}
	n.command = exec.Command(n.world.binary, "sidecar")
	n.command.Env = append(os.Environ(), "AUBURNRELAY_BOOT="+n.file)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		n.world.fatal("start of %s: %v", n.name, err)
	}
	exited := make(chan struct{})
	n.exited = exited
	command := n.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// hasExited reports whether the node's process has ended.
func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// kill ends the node's process.
func (n *node) kill() {
	if n.exited == nil || n.hasExited() {
		return
	}
	_ = n.command.Process.Kill()
	<-n.exited
}

// isReady asks the node's ready address.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// request is a request as a backend has received it.
type request struct {
	method, target string
	header         textproto.MIMEHeader
	body           []byte
}

func (r *request) id() string { return r.header.Get("X-Attempt-Id") }

// backend is a stand-in for a backend of a service without keys: it sends heartbeats to its node and runs requests.
type backend struct {
	world            *world
	id, service      string
	address, control string
	born, sequence   int64
}

// workTime is how long a backend works on a request.
const workTime = 20 * time.Millisecond

// addBackend starts a backend that listens at a free address; connect makes it send heartbeats.
func (w *world) addBackend(id, service string) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("backend: %v", err)
	}
	b := &backend{world: w, id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli()}
	go b.serve(l)
	return b
}

// connect makes the backend send heartbeats to a node.
func (b *backend) connect(control string) {
	b.control = control
	go func() {
		for {
			b.beat()
			time.Sleep(heartbeatInterval)
		}
	}()
}

// beat sends one heartbeat.
func (b *backend) beat() {
	b.sequence++
	text, _ := json.Marshal(map[string]any{
		"addr": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": "z1", "slots": 6},
		"status": map[string]any{"state": "ready", "seq": b.sequence, "cold-left-s": 0},
		"holds":  [][3]any{}, "freed": [][3]any{},
	})
	data, err := body.CBOR.FromJSON(text)
	if err != nil {
		b.world.fatal("heartbeat: %v", err)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + b.control + "/rpc?call=instances.heartbeat&of=" + b.id
	response, err := client.Post(url, body.CBOR.ContentType(), bytes.NewReader(data))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
	_ = response.Body.Close()
}

func (b *backend) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go b.serveConnection(c)
	}
}

func (b *backend) serveConnection(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := readRequest(reader)
		if err != nil {
			return
		}
		if _, err := c.Write(b.handle(r)); err != nil {
			return
		}
	}
}

// readRequest reads a request without changing its target.
func readRequest(reader *bufio.Reader) (*request, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
	if len(parts) != 3 {
		return nil, errors.New("malformed request line")
	}
	header, err := textproto.NewReader(reader).ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	r := &request{method: parts[0], target: parts[1], header: header}
	if strings.EqualFold(header.Get("Transfer-Encoding"), "chunked") {
		if r.body, err = io.ReadAll(httputil.NewChunkedReader(reader)); err != nil {
			return nil, err
		}
		_, err = textproto.NewReader(reader).ReadMIMEHeader()
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return r, err
	}
	if length, _ := strconv.Atoi(header.Get("Content-Length")); length > 0 {
		r.body = make([]byte, length)
		_, err = io.ReadFull(reader, r.body)
	}
	return r, err
}

// message returns the bytes of an answer.
func message(status int, header map[string]string, text string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(text), text)
	return out.Bytes()
}

// handle refuses or runs a request and returns the bytes of the answer.
func (b *backend) handle(r *request) []byte {
	id := r.id()
	if r.header.Get("X-Target-Instance") != b.id {
		return message(http.StatusMisdirectedRequest, map[string]string{"X-Attempt-Id": id, "X-Instance-Id": b.id}, "")
	}
	b.world.recordRun(b, r)
	time.Sleep(workTime)
	return message(http.StatusOK, map[string]string{"X-Attempt-Id": id, "X-Response-Seal": "seal-" + id}, "answer to "+id)
}

// recordRun records that a backend begins to run a request.
func (w *world) recordRun(b *backend, r *request) {
	w.note("run        id=%s at=%s %s %q caller=%s", r.id(), b.id, r.method, r.target, r.header.Get("X-Caller-Service"))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[r.id()] = append(w.runs[r.id()], r.target)
}

// reply is the answer that a client has got; status 0 stands for none.
type reply struct {
	status int
	text   string
	err    error
}

// get sends one GET request on a new connection and waits for its answer.
func (w *world) get(n *node, target string, timeout time.Duration) (string, reply) {
	id := fmt.Sprintf("a%d", w.ids.Add(1))
	w.note("send       id=%s to=%s GET %q", id, n.name, target)
	a := w.exchange(n, id, target, timeout)
	w.note("answer     id=%s status=%d error=%v %q", id, a.status, a.err, a.text)
	return id, a
}

func (w *world) exchange(n *node, id, target string, timeout time.Duration) reply {
	c, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout + 500*time.Millisecond))
	const head = "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Timeout-Ms: %d\r\n\r\n"
	if _, err := fmt.Fprintf(c, head, target, id, timeout.Milliseconds()); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, string(text), err}
}

// await waits until the condition holds; the case cannot run if that takes longer than the limit.
func (w *world) await(what string, within time.Duration, holds func() bool) {
	for began := time.Now(); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > within {
			w.fatal("%s not within %v", what, within)
		}
	}
	w.note("%s", what)
}

// cases holds the cases by the number of their folder.
var cases = map[string]func(*world){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: drive-3 CASE NODE-PROGRAM RECORD-FILE")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	record, err := os.Create(os.Args[3])
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "unknown case, or the record cannot be written:", err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		os.Exit(exitNotRun)
	}
	w := &world{
		binary: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record,
		runs: map[string][]string{},
	}
	w.note("case %s, trouble %v", os.Args[1], w.trouble)
	time.AfterFunc(110*time.Second, func() { w.fatal("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { w.fatal("ended by signal %v", <-signals) }()
	play(w)
	w.fatal("the case ended without a result")
}

// Program drive-3 plays the scripted cases of the third review: it starts the nodes as separate processes on loopback
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

// keyMax is the largest key, and sliceKeys the unit in which the stand-ins compare what is held.
const (
	keyMax    = 65535
	sliceKeys = 64
	sliceMax  = (keyMax + 1) / sliceKeys
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

	mu       sync.Mutex
	record   *os.File
	backends []*backend
	// runs holds the runs of each request, by id.
	runs map[string][]run
	// sent holds the target of each request that a client has sent, by id.
	sent map[string]string
}

// run is one run of a request at a backend.
type run struct {
	backend, target, caller string
	at                      time.Duration
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
	w.configure(http.MethodPost, "/objects/config", config)
}

// configure writes the operator's configuration to the store.
func (w *world) configure(method, path, config string) {
	text, err := json.Marshal(objectstore.Object{Meta: objectstore.Meta{Name: "main"}, Spec: body.Raw(config)})
	if err != nil {
		w.fatal("configuration: %v", err)
	}
	data, err := body.CBOR.FromJSON(text)
	if err != nil {
		w.fatal("configuration: %v", err)
	}
	request, _ := http.NewRequest(method, w.storeURL+path, bytes.NewReader(data))
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
	name, service, zone, region                 string
	callers, peers, control, ready, admin, file string
	memoryMB                                    int
	command                                     *exec.Cmd
	exited                                      chan struct{}
	starts                                      int
}

const settingsText = `[node]
name = %q
region = %q
failure_domain = %q
service = %q
memory_mb = %d
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
	n := &node{world: w, name: name, service: service, zone: "z1", region: "r1", file: filepath.Join(w.dir, name+".toml"), memoryMB: 284}
	w.nodes = append(w.nodes, n)
	for range maxStarts {
		a, err := freeAddresses(5)
		if err != nil {
			w.fatal("addresses: %v", err)
		}
		n.callers, n.peers, n.control, n.ready, n.admin = a[0], a[1], a[2], a[3], a[4]
		text := fmt.Sprintf(settingsText, name, n.region, n.zone, service, n.memoryMB, n.callers, n.peers, n.control, n.ready, n.admin,
			w.storeURL, app)
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

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// kill ends the node's process.
func (n *node) kill() {
	if n.hasExited() {
		return
	}
	n.signal(syscall.SIGKILL)
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

// answer is what a backend answers: the bytes, and whether it closes the connection behind them.
type answer struct {
	bytes  []byte
	closes bool
}

// backend is a stand-in for a backend: it sends heartbeats to its node, holds the keys that it is granted and runs
// requests for them.
type backend struct {
	world             *world
	id, service, zone string
	address, control  string
	keyed             bool
	born              int64
	work              time.Duration
	slots             int
	listener          net.Listener
	stopped           chan struct{}
	respond           func(*backend, *request) answer
	// extraAfter, unless nil, decides whether further bytes follow the answer to the request with this id.
	extraAfter          func(id string) bool
	connections         map[net.Conn]bool
	mu                  sync.Mutex
	sequence            int64
	draining, isStopped bool
	granted             [sliceMax]int64
	until               time.Time
	freed               [][3]any
	working             map[int]int
}

// addBackend starts a backend that listens at a free address; connect makes it send heartbeats.
func (w *world) addBackend(id, service string, keyed bool) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("backend: %v", err)
	}
	b := &backend{
		world: w, id: id, service: service, zone: "z1", address: l.Addr().String(), keyed: keyed, born: time.Now().UnixMilli(),
		work: 20 * time.Millisecond, slots: 6, listener: l, stopped: make(chan struct{}), connections: map[net.Conn]bool{}, working: map[int]int{},
	}
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	go b.serve(l)
	return b
}

// connect makes the backend send heartbeats to a node.
func (b *backend) connect(control string) {
	b.control = control
	go func() {
		for {
			pause := heartbeatInterval
			if b.beat() {
				pause = 90 * time.Millisecond
			}
			select {
			case <-b.stopped:
				return
			case <-time.After(pause):
			}
		}
	}()
}

// crash ends the backend without notice.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isStopped {
		return
	}
	b.isStopped = true
	close(b.stopped)
	_ = b.listener.Close()
	for c := range b.connections {
		_ = c.Close()
	}
}

// post sends a call of the backend to its node and returns the answer; nil if there is none within a second.
func post(control, call, id string, message any) map[string]any {
	text, _ := json.Marshal(message)
	data, err := body.CBOR.FromJSON(text)
	if err != nil {
		return nil
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+control+"/rpc?call="+call+"&of="+id, body.CBOR.ContentType(), bytes.NewReader(data))
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 || len(data) > 4096 {
		return nil
	}
	text, err = body.CBOR.ToJSON(data)
	decoded := map[string]any{}
	if err != nil || json.Unmarshal(text, &decoded) != nil {
		return nil
	}
	return decoded
}

// beat sends one heartbeat and reports whether keys were released by its answer.
func (b *backend) beat() bool {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	freed := b.freed
	message := map[string]any{
		"addr": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": state, "seq": b.sequence, "cold-left-s": 0},
		"holds":  b.rows(), "freed": append([][3]any{}, freed...),
	}
	sent := time.Now()
	b.mu.Unlock()
	decoded := post(b.control, "instances.heartbeat", b.id, message)
	if decoded == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freed = b.freed[len(freed):]
	rows, named := decoded["holds"].([]any)
	if !named || b.isStopped {
		return false
	}
	seconds, _ := decoded["hold-s"].(float64)
	return b.take(rows, sent.Add(time.Duration(seconds*float64(time.Second))))
}

// rows returns what the backend holds or still works on. The caller holds the lock.
func (b *backend) rows() [][3]int64 {
	rows := [][3]int64{}
	valid := time.Now().Before(b.until)
	for i, fence := range b.granted {
		if (!valid || fence == 0) && b.working[i] == 0 {
			continue
		}
		if n := len(rows); n > 0 && rows[n-1][1]+1 == int64(i*sliceKeys) && rows[n-1][2] == fence {
			rows[n-1][1] = int64((i+1)*sliceKeys - 1)
			continue
		}
		rows = append(rows, [3]int64{int64(i * sliceKeys), int64((i+1)*sliceKeys - 1), fence})
	}
	return rows
}

// take replaces what the backend holds and reports whether it released anything. The caller holds the lock.
func (b *backend) take(rows []any, until time.Time) bool {
	var granted [sliceMax]int64
	for _, row := range rows {
		r := row.([]any)
		from, to, fence := int(r[0].(float64)), int(r[1].(float64)), int64(r[2].(float64))
		for i := from / sliceKeys; i <= to/sliceKeys; i++ {
			granted[i] = fence
		}
	}
	released := false
	for i := range granted {
		if b.granted[i] != 0 && granted[i] == 0 {
			released = true
			b.freed = append(b.freed, [3]any{i * sliceKeys, (i+1)*sliceKeys - 1, fmt.Sprintf("%s-%d", b.id, i)})
		}
	}
	b.granted, b.until = granted, until
	return released
}

// holds reports whether the backend holds a slice now.
func (b *backend) holds(slice int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.isStopped && b.granted[slice] != 0 && time.Now().Before(b.until)
}

// held returns the number of slices that the backend holds.
func (b *backend) held() int {
	n := 0
	for i := range sliceMax {
		if b.holds(i) {
			n++
		}
	}
	return n
}

func (b *backend) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.connections[c] = true
		b.mu.Unlock()
		go b.serveConnection(c)
	}
}

func (b *backend) serveConnection(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.connections, c)
		b.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	late := false
	for {
		r, err := readRequest(reader)
		if err != nil {
			return
		}
		if late {
			b.world.note("further bytes arrive before the answer to id=%s", r.id())
			if _, err := c.Write([]byte(extra)); err != nil {
				return
			}
		}
		a := b.handle(r)
		b.mu.Lock()
		extraAfter := b.extraAfter
		b.mu.Unlock()
		late = extraAfter != nil && extraAfter(r.id())
		if _, err := c.Write(a.bytes); err != nil || a.closes {
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

// handle refuses or runs a request.
func (b *backend) handle(r *request) answer {
	id := r.id()
	if r.header.Get("X-Target-Instance") != b.id {
		return answer{message(http.StatusMisdirectedRequest, map[string]string{"X-Attempt-Id": id, "X-Instance-Id": b.id}, ""), false}
	}
	key, err := strconv.Atoi(r.header.Get("X-Shard-Key"))
	if b.keyed && (err != nil || !b.holds(key/sliceKeys)) {
		return answer{message(http.StatusMisdirectedRequest, map[string]string{"X-Attempt-Id": id, "X-Not-Executed": "1"}, ""), false}
	}
	if b.keyed {
		b.addWork(key/sliceKeys, 1)
		defer b.addWork(key/sliceKeys, -1)
	}
	b.world.recordRun(b, r)
	if b.respond != nil {
		return b.respond(b, r)
	}
	time.Sleep(b.work)
	return answer{message(http.StatusOK, map[string]string{"X-Attempt-Id": id, "X-Response-Seal": "seal-" + id}, "answer to "+id), false}
}

func (b *backend) addWork(slice, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.working[slice] += n
}

// recordRun records that a backend begins to run a request.
func (w *world) recordRun(b *backend, r *request) {
	w.note("run        id=%s at=%s %s %q caller=%s", r.id(), b.id, r.method, r.target, r.header.Get("X-Caller-Service"))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[r.id()] = append(w.runs[r.id()], run{b.id, r.target, r.header.Get("X-Caller-Service"), time.Since(w.began)})
}

// hasRun reports whether a backend has begun to run the request.
func (w *world) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs[id]) > 0
}

// reply is the answer that a client has got; status 0 stands for none.
type reply struct {
	status int
	header http.Header
	text   string
	err    error
}

// send sends one request on a new connection and waits for its answer.
func (w *world) send(n *node, method, target string, key int, timeout time.Duration) (string, reply) {
	id := fmt.Sprintf("a%d", w.ids.Add(1))
	w.mu.Lock()
	w.sent[id] = target
	w.mu.Unlock()
	w.note("send       id=%s to=%s %s %q key=%d", id, n.name, method, target, key)
	a := w.exchange(n, id, method, target, key, timeout)
	w.note("answer     id=%s status=%d error=%v %q", id, a.status, a.err, a.text)
	return id, a
}

func (w *world) exchange(n *node, id, method, target string, key int, timeout time.Duration) reply {
	c, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout + 500*time.Millisecond))
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Timeout-Ms: %d\r\n", method, target, id, timeout.Milliseconds())
	if key >= 0 {
		fmt.Fprintf(&out, "X-Shard-Key: %d\r\n", key)
	}
	if method == http.MethodPost {
		out.WriteString("Content-Length: 4\r\n\r\nbody")
	} else {
		out.WriteString("\r\n")
	}
	if _, err := c.Write(out.Bytes()); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(text), err}
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
		runs: map[string][]run{}, sent: map[string]string{},
	}
	w.note("case %s, trouble %v", os.Args[1], w.trouble)
	time.AfterFunc(110*time.Second, func() { w.fatal("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { w.fatal("ended by signal %v", <-signals) }()
	play(w)
	w.fatal("the case ended without a result")
}

// Package fleet starts the whole system on one machine as separate processes: the store stand-in,
// and for each VM a node and a target stand-in. Each VM has its own IP address in the loopback range.
// The demonstration, the failure tests and the measurements use it.
package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotReady reports that a condition did not become true in time.
var ErrNotReady = errors.New("not ready in time")

// Ports of the processes. The store listens on the network's first address, all others on the IP addresses
// of their VMs. localPort is the node's listener for its target (listen.target in the settings).
const (
	entryPort  = "7001"
	peerPort   = "7002"
	localPort  = "7003"
	adminPort  = "7004"
	targetPort = "7005"
	storePort  = "7006"
)

const (
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 30 * time.Second
	adminTimeout = time.Second
)

// VM describes one VM with its node and target.
type VM struct {
	Name          string
	Region        string
	FailureDomain string
	// Cell is the cell's name; the region's name if empty.
	Cell  string
	Slots int
	// ChecksFences makes the target refuse requests without a valid grant, and those whose fence is lower
	// than the highest one seen for their slice.
	ChecksFences bool
	// NoTarget starts no target on the VM.
	NoTarget bool
	// AnnounceTo is the VM to whose node the target announces itself; its own VM if empty. Another one
	// simulates a wrong configuration.
	AnnounceTo string
	// TargetArgs are further arguments of the target stand-in.
	TargetArgs []string
}

// Plan describes the processes to start.
type Plan struct {
	// Bin is the folder with the built programs. Dir is the folder for settings and logs.
	Bin string
	Dir string
	VMs []VM
	// Settings is TOML text added to each node's settings.
	Settings string
	// StoreArgs are further arguments of the store stand-in.
	StoreArgs []string
	// Network routes connections through a link relay; nil for direct connections.
	Network *Network
}

// Fleet is a running system.
type Fleet struct {
	Plan
	Store *Process
	// Link is the link relay between places; nil without a Network.
	Link     *Process
	Nodes    map[string]*Process
	Targets  map[string]*Process
	ipPrefix string
	ips      map[string]string
}

// Start starts every process of the plan and waits until the store, the link relay and each node answer. If
// that fails it kills all of them; ErrNotReady reports a process that does not answer in time.
func Start(plan Plan) (*Fleet, error) {
	ipPrefix, err := freeLoopbackNetwork()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Plan:     plan,
		Nodes:    map[string]*Process{},
		Targets:  map[string]*Process{},
		ipPrefix: ipPrefix,
		ips:      map[string]string{},
	}
	for i, vm := range plan.VMs {
		f.ips[vm.Name] = ipPrefix + strconv.Itoa(i+2)
	}
	if err := f.startAll(); err != nil {
		f.KillAll()
		return nil, err
	}
	return f, nil
}

// networkCount counts the loopback networks tried by this process, so that no two of its fleets share one.
var networkCount atomic.Int64

// freeLoopbackNetwork returns the first three octets of a loopback network that no other fleet uses, with a
// dot at the end. A fleet's store listens on the network's first address.
func freeLoopbackNetwork() (string, error) {
	const tries = 200
	for range tries {
		n := os.Getpid() + int(networkCount.Add(1))*97
		ipPrefix := fmt.Sprintf("127.%d.%d.", 16+n%200, n/200%250)
		l, err := net.Listen("tcp", ipPrefix+"1:"+storePort)
		if err == nil {
			return ipPrefix, l.Close()
		}
	}
	return "", errors.Wrap(ErrNotReady, "no loopback network with a free port for the store")
}

func (f *Fleet) startAll() error {
	if err := f.StartStore(); err != nil {
		return err
	}
	if err := f.startLink(); err != nil {
		return err
	}
	for _, vm := range f.VMs {
		if err := f.StartNode(vm.Name); err != nil {
			return err
		}
		if err := f.StartTarget(vm.Name); err != nil {
			return err
		}
	}
	for _, vm := range f.VMs {
		if err := Await(10*time.Second, func() bool { return respondsOK(f.AdminURL(vm.Name) + "/healthz") }); err != nil {
			return errors.Wrapf(err, "node %s does not answer on /healthz", vm.Name)
		}
	}
	return nil
}

// StartStore starts the store stand-in and waits until it answers, at most 5 s.
func (f *Fleet) StartStore() error {
	args := append([]string{"--listen", f.ipPrefix + "1:" + storePort}, f.StoreArgs...)
	p, err := start(f.Dir, "store", filepath.Join(f.Bin, "standin-store"), args...)
	if err != nil {
		return err
	}
	f.Store = p
	return Await(5*time.Second, func() bool { return respondsOK(f.StoreURL() + "/admin/stats") })
}

// StartNode writes the settings of the VM's node and starts it. It does not wait until the node answers.
func (f *Fleet) StartNode(name string) error {
	path := filepath.Join(f.Dir, name+".toml")
	if err := os.WriteFile(path, []byte(f.nodeSettings(f.vm(name))), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	p, err := start(f.Dir, "node-"+name, filepath.Join(f.Bin, "auburnrelay"), "node", "--settings", path)
	if err != nil {
		return err
	}
	f.Nodes[name] = p
	return nil
}

// StartTarget starts the target stand-in of the VM, unless the VM has none.
func (f *Fleet) StartTarget(name string) error {
	vm := f.vm(name)
	if vm.NoTarget {
		return nil
	}
	announceTo := name
	if vm.AnnounceTo != "" {
		announceTo = vm.AnnounceTo
	}
	args := []string{
		"--listen", f.ips[name] + ":" + targetPort,
		"--name", name,
		"--node", "http://" + f.ips[announceTo] + ":" + localPort,
		"--slots", strconv.Itoa(vm.Slots),
		"--check-fences=" + strconv.FormatBool(vm.ChecksFences),
		"--log", f.ExecutionLog(name),
	}
	p, err := start(f.Dir, "target-"+name, filepath.Join(f.Bin, "standin-target"), append(args, vm.TargetArgs...)...)
	if err != nil {
		return err
	}
	f.Targets[name] = p
	return nil
}

// vm returns the VM of the plan with this name. It panics if there is none.
func (f *Fleet) vm(name string) VM {
	for _, vm := range f.VMs {
		if vm.Name == name {
			return vm
		}
	}
	panic("no VM named " + name)
}

func (f *Fleet) nodeSettings(vm VM) string {
	ip := f.ips[vm.Name]
	return fmt.Sprintf(`[cluster]
name = "fleet"

[node]
name = %q
region = %q
failure_domain = %q
cell = %q

[listen]
entry = %q
peer = %q
advertise_peer = %q
target = %q
admin = %q

[store]
url = %q

%s
`, vm.Name, vm.Region, vm.FailureDomain, vm.Cell, ip+":"+entryPort, ip+":"+peerPort, f.peerAddress(vm.Name),
		ip+":"+localPort, ip+":"+adminPort, f.storeURLFrom(vm), f.Settings)
}

// ExecutionLog returns the path of the target's execution log.
func (f *Fleet) ExecutionLog(name string) string {
	return filepath.Join(f.Dir, "executions-"+name+".jsonl")
}

// StoreURL returns the URL of the store stand-in.
func (f *Fleet) StoreURL() string { return "http://" + f.ipPrefix + "1:" + storePort }

// EntryURL returns the URL of the VM's entry listener, to which callers send requests.
func (f *Fleet) EntryURL(name string) string { return "http://" + f.ips[name] + ":" + entryPort }

// AdminURL returns the URL of the VM's admin listener.
func (f *Fleet) AdminURL(name string) string { return "http://" + f.ips[name] + ":" + adminPort }

// TargetURL returns the URL of the VM's target.
func (f *Fleet) TargetURL(name string) string { return "http://" + f.ips[name] + ":" + targetPort }

// RunCommand runs the auburnrelay command with the fleet's store and returns its combined output.
func (f *Fleet) RunCommand(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.Bin, "auburnrelay"), append([]string{"--store", f.StoreURL()}, args...)...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "auburnrelay %v: %s", args, out)
}

// AwaitSheetVersion waits until every running node has this sheet version or a later one and
// returns how long that took. It returns ErrNotReady after the limit.
func (f *Fleet) AwaitSheetVersion(version int64, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	err := Await(limit, func() bool {
		for _, vm := range f.VMs {
			if f.Nodes[vm.Name].Running() && f.sheetVersion(vm.Name) < version {
				return false
			}
		}
		return true
	})
	return time.Since(began), errors.Wrapf(err, "sheet version %d is not on every node", version)
}

// sheetVersion returns the sheet version of a node, or zero if the node does not answer.
func (f *Fleet) sheetVersion(name string) int64 {
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Get(f.AdminURL(name) + "/status")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var status struct {
		SheetVersion int64 `json:"sheet_version"`
	}
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return 0
	}
	return status.SheetVersion
}

// KillVM kills the VM's node and target.
func (f *Fleet) KillVM(name string) {
	f.Nodes[name].Kill()
	if target, ok := f.Targets[name]; ok {
		target.Kill()
	}
}

// PauseVM suspends the VM's node and target until ResumeVM, as if the VM were paused.
func (f *Fleet) PauseVM(name string) error {
	return errors.CombineErrors(f.Nodes[name].Pause(), f.Targets[name].Pause())
}

// ResumeVM resumes the node and target of a paused VM.
func (f *Fleet) ResumeVM(name string) error {
	return errors.CombineErrors(f.Targets[name].Resume(), f.Nodes[name].Resume())
}

// StartVM starts the node and the target of a killed VM again.
func (f *Fleet) StartVM(name string) error {
	if err := f.StartNode(name); err != nil {
		return err
	}
	return f.StartTarget(name)
}

// Stop stops all processes gracefully: first the nodes, then the targets, then the store and the link
// relay. If a process fails to stop, it kills all that are left and returns the errors.
func (f *Fleet) Stop() error {
	var combined error
	for _, group := range []map[string]*Process{f.Nodes, f.Targets, f.commonProcesses()} {
		combined = errors.CombineErrors(combined, stopAll(group))
	}
	if combined != nil {
		f.KillAll()
	}
	return combined
}

// stopAll sends all processes the signal to stop and then waits for each, at most stopTimeout.
func stopAll(group map[string]*Process) error {
	var terminating []*Process
	var combined error
	for _, p := range group {
		if p.Running() {
			terminating = append(terminating, p)
			combined = errors.CombineErrors(combined, p.Terminate())
		}
	}
	for _, p := range terminating {
		combined = errors.CombineErrors(combined, p.WaitExit(stopTimeout))
	}
	return combined
}

// KillAll kills every running process.
func (f *Fleet) KillAll() {
	for _, group := range []map[string]*Process{f.Nodes, f.Targets, f.commonProcesses()} {
		for _, p := range group {
			if p != nil && p.Running() {
				p.Kill()
			}
		}
	}
}

// Await polls a condition until it is true. It returns ErrNotReady after the limit.
func Await(limit time.Duration, condition func() bool) error {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return errors.Wrapf(ErrNotReady, "after %v", limit)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// respondsOK reports whether a GET of the URL returns 200 within adminTimeout.
func respondsOK(url string) bool {
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

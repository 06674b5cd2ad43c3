// Package fleet starts the whole system on one machine as separate processes: the store
// stand-in, a node and a target stand-in for each VM. Each VM has an IP number of its own
// in the loopback range. The demonstration, the failure tests and the measurements use it.
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

// ErrNotReady reports a condition that did not hold in time.
var ErrNotReady = errors.New("not ready in time")

// Ports of the processes on each VM.
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
	stopWait     = 30 * time.Second
	probeTimeout = time.Second
)

// VM describes one VM with its node and target.
type VM struct {
	Name          string
	Region        string
	FailureDomain string
	// Cell is the cell's name; empty means the region's.
	Cell  string
	Slots int
	// ChecksFences says whether the target refuses lapsed and lower grants.
	ChecksFences bool
	// NoTarget leaves the VM without a target.
	NoTarget bool
	// AnnounceTo makes the target announce itself to another VM's node, as wrong wiring does.
	AnnounceTo string
	// TargetArgs are further arguments of the target stand-in.
	TargetArgs []string
}

// Plan says what to start.
type Plan struct {
	// Bin is the folder of the built programs, Dir the one for settings and logs.
	Bin string
	Dir string
	VMs []VM
	// Settings is TOML text added to each node's settings.
	Settings string
	// StoreArgs are further arguments of the store stand-in.
	StoreArgs []string
	// Network puts the VMs and the store apart; nil lets all reach one another directly.
	Network *Network
}

// Fleet is a running system.
type Fleet struct {
	Plan
	Store *Process
	// Link is the relay between places; nil without a Network.
	Link    *Process
	Nodes   map[string]*Process
	Targets map[string]*Process
	network string
	ips     map[string]string
}

// Start starts every process of the plan and waits until each answers.
func Start(plan Plan) (*Fleet, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Plan:    plan,
		Nodes:   map[string]*Process{},
		Targets: map[string]*Process{},
		network: network,
		ips:     map[string]string{},
	}
	for i, vm := range plan.VMs {
		f.ips[vm.Name] = network + strconv.Itoa(i+2)
	}
	if err := f.startAll(); err != nil {
		f.KillAll()
		return nil, err
	}
	return f, nil
}

// networks counts the fleets of this process, so that no two take one network.
var networks atomic.Int64

// freeNetwork returns the first three numbers of a loopback network in which no other
// fleet runs.
func freeNetwork() (string, error) {
	const tries = 200
	for range tries {
		n := os.Getpid() + int(networks.Add(1))*97
		network := fmt.Sprintf("127.%d.%d.", 16+n%200, n/200%250)
		l, err := net.Listen("tcp", network+"1:"+storePort)
		if err == nil {
			return network, l.Close()
		}
	}
	return "", errors.Wrap(ErrNotReady, "no free loopback network")
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
		if err := Await(10*time.Second, func() bool { return answers(f.AdminURL(vm.Name) + "/healthz") }); err != nil {
			return errors.Wrapf(err, "node %s", vm.Name)
		}
	}
	return nil
}

// StartStore starts the store stand-in and waits until it answers.
func (f *Fleet) StartStore() error {
	args := append([]string{"--listen", f.network + "1:" + storePort}, f.StoreArgs...)
	p, err := start(f.Dir, "store", filepath.Join(f.Bin, "standin-store"), args...)
	if err != nil {
		return err
	}
	f.Store = p
	return Await(5*time.Second, func() bool { return answers(f.StoreURL() + "/admin/stats") })
}

// StartNode starts the node of the VM.
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
func (f *Fleet) StoreURL() string { return "http://" + f.network + "1:" + storePort }

// EntryURL returns the URL of the VM's callers' interface.
func (f *Fleet) EntryURL(name string) string { return "http://" + f.ips[name] + ":" + entryPort }

// AdminURL returns the URL of the VM's admin listener.
func (f *Fleet) AdminURL(name string) string { return "http://" + f.ips[name] + ":" + adminPort }

// TargetURL returns the URL of the VM's target.
func (f *Fleet) TargetURL(name string) string { return "http://" + f.ips[name] + ":" + targetPort }

// Relay runs the operators' command line and returns what it printed.
func (f *Fleet) Relay(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.Bin, "auburnrelay"), append([]string{"--store", f.StoreURL()}, args...)...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "auburnrelay %v: %s", args, out)
}

// InForce waits until every running node has the same sheet version and returns how long
// that took. It fails with ErrNotReady after the limit.
func (f *Fleet) InForce(version int64, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	err := Await(limit, func() bool {
		for _, vm := range f.VMs {
			if f.Nodes[vm.Name].Running() && f.sheetVersion(vm.Name) < version {
				return false
			}
		}
		return true
	})
	return time.Since(began), errors.Wrapf(err, "sheet version %d", version)
}

// sheetVersion asks a node for the version of its sheet; zero means no answer.
func (f *Fleet) sheetVersion(name string) int64 {
	client := http.Client{Timeout: probeTimeout}
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

// KillVM ends the VM's node and target at once.
func (f *Fleet) KillVM(name string) {
	f.Nodes[name].Kill()
	if target, ok := f.Targets[name]; ok {
		target.Kill()
	}
}

// PauseVM stops the VM's node and target until ResumeVM, as a paused machine would.
func (f *Fleet) PauseVM(name string) error {
	return errors.CombineErrors(f.Nodes[name].Pause(), f.Targets[name].Pause())
}

// ResumeVM lets the node and target of a paused VM run on.
func (f *Fleet) ResumeVM(name string) error {
	return errors.CombineErrors(f.Targets[name].Resume(), f.Nodes[name].Resume())
}

// StartVM starts the node and the target of a VM that was killed.
func (f *Fleet) StartVM(name string) error {
	if err := f.StartNode(name); err != nil {
		return err
	}
	return f.StartTarget(name)
}

// Stop stops everything gracefully: nodes, then targets, then the store. It returns the
// first error.
func (f *Fleet) Stop() error {
	var first error
	for _, group := range []map[string]*Process{f.Nodes, f.Targets, f.services()} {
		first = errors.CombineErrors(first, stopAll(group))
	}
	if first != nil {
		f.KillAll()
	}
	return first
}

// stopAll asks the processes to stop at once and waits for all.
func stopAll(group map[string]*Process) error {
	var asked []*Process
	var first error
	for _, p := range group {
		if p.Running() {
			asked = append(asked, p)
			first = errors.CombineErrors(first, p.Terminate())
		}
	}
	for _, p := range asked {
		first = errors.CombineErrors(first, p.Ended(stopWait))
	}
	return first
}

// KillAll ends every process at once.
func (f *Fleet) KillAll() {
	for _, group := range []map[string]*Process{f.Nodes, f.Targets, f.services()} {
		for _, p := range group {
			if p != nil && p.Running() {
				p.Kill()
			}
		}
	}
}

// Await polls a condition until it holds. It fails with ErrNotReady after the limit.
func Await(limit time.Duration, holds func() bool) error {
	end := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(end) {
			return errors.Wrapf(ErrNotReady, "after %v", limit)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func answers(url string) bool {
	client := http.Client{Timeout: probeTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

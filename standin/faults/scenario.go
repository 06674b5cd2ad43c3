// Package faults injects failures into a running fleet of processes and checks what users are
// promised: that a key has one owner at a time, by the targets' execution logs, and that no key goes
// unserved for longer than a limit.
package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/platform/objectstore"
	"github.com/auburnrelay/auburnrelay/standin/execlog"
	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/link"
	"github.com/auburnrelay/auburnrelay/standin/probe"
	"github.com/auburnrelay/auburnrelay/standin/store"
	"github.com/auburnrelay/auburnrelay/standin/target"
)

// ErrOwnership reports a key that had two owners at a time, or a request that was executed twice.
var ErrOwnership = errors.New("sole ownership violated: two owners of a key, or a request executed twice")

const (
	// Cell is the cell that contains all VMs.
	Cell = "alfold"
	// service is the keyed service to which the probes are sent.
	service       = "booking"
	keyCount      = 40
	probeInterval = 100 * time.Millisecond
	probeDeadline = 5 * time.Second
	settleTimeout = 20 * time.Second
	adminTimeout  = 2 * time.Second
	// linkMbits is the rate between two regions in Mbit/s. It has no effect, as there is one region, but
	// a link plan without a rate is invalid.
	linkMbits = 1000
)

// sliceCount is the number of slices of the keyed service in the sheet.
const sliceCount = 32

const sheet = `service,kind,from,to,region,cell,targets,slices
booking,keyed,,,alfold,,,32
`

// Scenario is a running fleet with a prober that sends requests to all keys.
type Scenario struct {
	Fleet *fleet.Fleet
	Probe *probe.Prober
	keys  []string
}

// Options configure a scenario.
type Options struct {
	Bin string
	Dir string
	// VMs is the number of VMs of the cell, at least one.
	VMs int
	// AcceptAnyFence makes the targets accept requests with any fence.
	AcceptAnyFence bool
	// Cuts routes the connections between the nodes, and from them to the store, through a link relay
	// that can cut them (see package link). Network is then ignored.
	Cuts bool
	// Settings is TOML text added to each node's settings.
	Settings string
	// Network routes connections through a link relay with the given delays; nil for direct connections.
	Network *fleet.Network
	// TargetArgs are further arguments of each target stand-in.
	TargetArgs []string
}

// Start starts a fleet, applies a sheet and returns once every key is served. Its errors are those of
// the start and fleet.ErrNotReady.
func Start(o Options) (*Scenario, error) {
	plan := fleet.Plan{Bin: o.Bin, Dir: o.Dir, VMs: vms(o), Settings: o.Settings, Network: o.Network}
	if o.Cuts {
		plan.Network = &fleet.Network{
			StorePlace:  link.Place{Region: Cell, FailureDomain: fleet.StorePlaceName},
			DomainDelay: link.DefaultDomainDelay,
			RegionMbits: linkMbits,
			PerVM:       true,
		}
	}
	f, err := fleet.Start(plan)
	if err != nil {
		return nil, err
	}
	s := &Scenario{Fleet: f}
	if err := s.prepare(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// vms assigns the VMs alternately to two failure domains.
func vms(o Options) []fleet.VM {
	domains := []string{"debrecen", "szeged"}
	list := make([]fleet.VM, o.VMs)
	for i := range list {
		domain := domains[i%len(domains)]
		list[i] = fleet.VM{
			Name:          fmt.Sprintf("%s-%d", domain, i/len(domains)+1),
			Region:        Cell,
			FailureDomain: domain,
			Slots:         6,
			ChecksFences:  !o.AcceptAnyFence,
			TargetArgs:    o.TargetArgs,
		}
	}
	return list
}

func (s *Scenario) prepare() error {
	path := filepath.Join(s.Fleet.Dir, "sheet.csv")
	if err := os.WriteFile(path, []byte(sheet), 0o600); err != nil {
		return errors.Wrap(err, "write sheet")
	}
	if _, err := s.Fleet.RunCommand("sheet", "apply", path); err != nil {
		return err
	}
	// Probes start only when the slices are spread over the VMs: slices without load are moved before
	// others.
	if err := s.awaitSpread(); err != nil {
		return err
	}
	for i := range keyCount {
		s.keys = append(s.keys, fmt.Sprintf("bay-%02d", i))
	}
	var entries []string
	for _, vm := range s.Fleet.VMs {
		entries = append(entries, s.Fleet.EntryURL(vm.Name))
	}
	s.Probe = probe.Start(probe.Config{
		Entries: entries, Service: service, Keys: s.keys, Interval: probeInterval, Deadline: probeDeadline,
	})
	return s.AwaitSettled()
}

// awaitSpread waits until every VM owns at least half of an even share of the slices.
func (s *Scenario) awaitSpread() error {
	return fleet.Await(settleTimeout, func() bool {
		record, err := s.Record()
		return err == nil && record.fewestSlices(s.Fleet.VMs) >= sliceCount/len(s.Fleet.VMs)/2
	})
}

// Cut cuts the connections between the VM's node and the places, which are names of VMs or
// fleet.StorePlaceName. It needs Options.Cuts.
func (s *Scenario) Cut(vm string, places ...string) error {
	for _, place := range places {
		if err := post(s.Fleet.LinkURL()+"/admin/cut", link.CutMessage{A: vm, B: place}); err != nil {
			return err
		}
	}
	return nil
}

// HealCuts ends every cut.
func (s *Scenario) HealCuts() error { return post(s.Fleet.LinkURL()+"/admin/heal", link.CutMessage{}) }

// Others returns the names of all VMs except the given ones.
func (s *Scenario) Others(names ...string) []string {
	var others []string
	for _, vm := range s.Fleet.VMs {
		if !slices.Contains(names, vm.Name) {
			others = append(others, vm.Name)
		}
	}
	return others
}

// DomainVMs returns the names of the VMs in the failure domain of the given one.
func (s *Scenario) DomainVMs(name string) []string {
	i := slices.IndexFunc(s.Fleet.VMs, func(vm fleet.VM) bool { return vm.Name == name })
	var names []string
	for _, vm := range s.Fleet.VMs {
		if vm.FailureDomain == s.Fleet.VMs[i].FailureDomain {
			names = append(names, vm.Name)
		}
	}
	return names
}

// AwaitSettled waits until every key has been served after the call. In a cell with more than one VM it also
// waits until the record names a standby, and an owner and a successor for each slice. It returns
// fleet.ErrNotReady after settleTimeout.
func (s *Scenario) AwaitSettled() error {
	from := time.Now()
	return fleet.Await(settleTimeout, func() bool {
		record, err := s.Record()
		assigned := len(s.Fleet.VMs) == 1 || record.isComplete()
		return err == nil && assigned && s.Probe.ServedSince(from) == len(s.keys)
	})
}

// Record is the part of the cell's record in the store that the tests read.
type Record struct {
	Epoch      uint64 `json:"epoch"`
	Controller struct {
		Name string `json:"name"`
	} `json:"controller"`
	Standby struct {
		Name string `json:"name"`
	} `json:"standby"`
	Ranges []struct {
		Slices []struct {
			Owner     string `json:"o"`
			Successor string `json:"s"`
		} `json:"slices"`
	} `json:"ranges"`
}

// fewestSlices returns the number of slices of the VM that owns the fewest.
func (r Record) fewestSlices(vms []fleet.VM) int {
	counts := map[string]int{}
	for _, rng := range r.Ranges {
		for _, slice := range rng.Slices {
			counts[slice.Owner]++
		}
	}
	fewest := sliceCount
	for _, vm := range vms {
		fewest = min(fewest, counts[vm.Name])
	}
	return fewest
}

// slicesOf returns the number of slices that the VM owns.
func (r Record) slicesOf(name string) int {
	n := 0
	for _, rng := range r.Ranges {
		for _, slice := range rng.Slices {
			if slice.Owner == name {
				n++
			}
		}
	}
	return n
}

// isComplete reports whether the record names a standby, and an owner and a successor for
// every slice.
func (r Record) isComplete() bool {
	for _, rng := range r.Ranges {
		for _, slice := range rng.Slices {
			if slice.Owner == "" || slice.Successor == "" {
				return false
			}
		}
	}
	return r.Standby.Name != "" && len(r.Ranges) > 0
}

// Record reads the cell's record from the store.
func (s *Scenario) Record() (Record, error) {
	var record Record
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	object, err := objectstore.New(s.Fleet.StoreURL(), objectstore.Options{}).Get(ctx, "cells/"+Cell)
	if err != nil {
		return record, errors.Wrap(err, "read cell record")
	}
	return record, errors.Wrap(json.Unmarshal(object.Value, &record), "decode cell record")
}

// PlainVM returns a VM whose node is neither controller nor standby.
func (s *Scenario) PlainVM() (string, error) {
	record, err := s.Record()
	if err != nil {
		return "", err
	}
	for _, vm := range s.Fleet.VMs {
		if vm.Name != record.Controller.Name && vm.Name != record.Standby.Name {
			return vm.Name, nil
		}
	}
	return "", errors.New("every VM of the cell is controller or standby")
}

// SetStoreFaults sets the faults of the store stand-in.
func (s *Scenario) SetStoreFaults(faults store.FaultsMessage) error {
	return post(s.Fleet.StoreURL()+"/admin/faults", faults)
}

// SetTargetFaults sets the faults of a target stand-in.
func (s *Scenario) SetTargetFaults(vm string, faults target.FaultsMessage) error {
	return post(s.Fleet.TargetURL(vm)+"/admin/faults", faults)
}

func post(url string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode admin request")
	}
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "post admin request")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("admin request to %s failed: status %d", url, resp.StatusCode)
	}
	return nil
}

// CheckLogs checks the execution logs of all targets. It returns ErrOwnership for a violation, with the
// first one found.
func (s *Scenario) CheckLogs() error {
	var entries []execlog.Entry
	for _, vm := range s.Fleet.VMs {
		read, err := readLog(s.Fleet.ExecutionLog(vm.Name))
		if err != nil {
			return err
		}
		entries = append(entries, read...)
	}
	if violations := execlog.Check(entries); len(violations) > 0 {
		return errors.Wrapf(ErrOwnership, "%d violations, the first: %v", len(violations), violations[0])
	}
	return nil
}

func readLog(path string) ([]execlog.Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open execution log")
	}
	defer func() { _ = file.Close() }()
	return execlog.Read(file)
}

// Close stops the probes and kills every process.
func (s *Scenario) Close() {
	if s.Probe != nil {
		s.Probe.Stop()
	}
	s.Fleet.KillAll()
}

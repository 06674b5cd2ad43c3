package faults

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

const (
	// inForceLimit is the limit promised to users on the time until an accepted sheet is in force on all
	// nodes.
	inForceLimit = 9 * time.Second
	pollInterval = 50 * time.Millisecond
)

// sheetWatch polls the sheet version of every node and fails the test if a node returns to an older one.
type sheetWatch struct {
	t    *testing.T
	s    *Scenario
	done chan struct{}
	work sync.WaitGroup

	mu       sync.Mutex
	versions map[string]int64
}

func startSheetWatch(t *testing.T, s *Scenario) *sheetWatch {
	w := &sheetWatch{t: t, s: s, done: make(chan struct{}), versions: map[string]int64{}}
	for _, vm := range s.Fleet.VMs {
		w.work.Go(func() { w.pollLoop(vm.Name) })
	}
	t.Cleanup(w.stop)
	return w
}

func (w *sheetWatch) stop() {
	close(w.done)
	w.work.Wait()
}

func (w *sheetWatch) pollLoop(vm string) {
	client := http.Client{Timeout: adminTimeout}
	for {
		w.poll(&client, vm)
		select {
		case <-time.After(pollInterval):
		case <-w.done:
			return
		}
	}
}

func (w *sheetWatch) poll(client *http.Client, vm string) {
	resp, err := client.Get(w.s.Fleet.AdminURL(vm) + "/status")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var status struct {
		Version int64 `json:"sheet_version"`
	}
	if json.NewDecoder(resp.Body).Decode(&status) != nil || status.Version == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if status.Version < w.versions[vm] {
		w.t.Errorf("%s returned from sheet version %d to %d", vm, w.versions[vm], status.Version)
	}
	w.versions[vm] = status.Version
}

// awaitVersion waits until the VMs' nodes have exactly this sheet version. It returns fleet.ErrNotReady after
// the limit.
func (w *sheetWatch) awaitVersion(version int64, limit time.Duration, vms []string) error {
	return fleet.Await(limit, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, vm := range vms {
			if w.versions[vm] != version {
				return false
			}
		}
		return true
	})
}

// applySheet applies the usual sheet with one more service of the given name and returns its version.
func applySheet(t *testing.T, s *Scenario, name string) int64 {
	t.Helper()
	path := filepath.Join(s.Fleet.Dir, name+".csv")
	text := sheet + name + ",keyed,,,alfold,,,4\n"
	must(t, os.WriteFile(path, []byte(text), 0o600))
	out, err := s.Fleet.RunCommand("sheet", "apply", path)
	must(t, err)
	_, rest, _ := strings.Cut(out, "accepted as version ")
	version, err := strconv.ParseInt(strings.SplitN(rest, ";", 2)[0], 10, 64)
	must(t, err)
	return version
}

func exceptVM(s *Scenario, excluded string) []string {
	var names []string
	for _, vm := range s.Fleet.VMs {
		if vm.Name != excluded {
			names = append(names, vm.Name)
		}
	}
	return names
}

// TestSheetInForce applies a sheet and injects a fault directly after its acceptance. The sheet must be in
// force on every running node within the limit, counted from the end of the fault, and no node may
// return to an older sheet.
func TestSheetInForce(t *testing.T) {
	for _, c := range []struct {
		name      string
		selectVMs vmSelector
		fault     action
		// duration is how long the fault lasts before heal.
		duration time.Duration
		heal     action
		// staysDown excludes the VM from the check, as it is not started again.
		staysDown bool
	}{
		{name: "no fault", selectVMs: plainVM, fault: sleep(0)},
		{name: "controller killed", selectVMs: controller, fault: killVM, staysDown: true},
		{name: "controller paused", selectVMs: controller, fault: pauseNode, duration: 5 * time.Second, heal: resumeNode},
		{name: "late node", selectVMs: plainVM, fault: killNode, duration: 2 * time.Second,
			heal: startNode},
		{name: "store down", selectVMs: plainVM, duration: 8 * time.Second, heal: healStore,
			fault: setStoreFaults(store.FaultsMessage{Down: true})},
		{name: "watch broken", selectVMs: plainVM, duration: 3 * time.Second, heal: healStore,
			fault: setStoreFaults(store.FaultsMessage{WatchBroken: true})},
		{name: "stale watch, then controller killed", selectVMs: controller, duration: 5 * time.Second, heal: healStore, staysDown: true,
			fault: inSequence(setStoreFaults(store.FaultsMessage{StaleWatch: true}), killVM)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario(t, nil)
			w := startSheetWatch(t, s)
			vms := c.selectVMs(t, s)
			version := applySheet(t, s, "tools")
			c.fault(t, s, vms)
			time.Sleep(c.duration)
			if c.heal != nil {
				c.heal(t, s, vms)
			}
			began := time.Now()
			expected := exceptVM(s, "")
			if c.staysDown {
				expected = exceptVM(s, vms[0])
			}
			if err := w.awaitVersion(version, inForceLimit, expected); err != nil {
				t.Errorf("sheet version %d is not in force on every node; versions: %v", version, w.versions)
			}
			t.Logf("in force on every node %v after acceptance or the end of the fault", time.Since(began).Round(time.Millisecond))
			awaitSettled(t, s)
			must(t, s.CheckLogs())
		})
	}
}

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
	// inForceIn is the limit promised to users on the time until an accepted sheet is in force on all
	// nodes.
	inForceIn = 9 * time.Second
	lookEvery = 50 * time.Millisecond
)

// sheetWatch polls the sheet version of every node and fails the test if a node returns to an older one.
type sheetWatch struct {
	t    *testing.T
	s    *Scene
	done chan struct{}
	work sync.WaitGroup

	mu       sync.Mutex
	versions map[string]int64
}

func watchSheets(t *testing.T, s *Scene) *sheetWatch {
	w := &sheetWatch{t: t, s: s, done: make(chan struct{}), versions: map[string]int64{}}
	for _, vm := range s.Fleet.VMs {
		w.work.Go(func() { w.follow(vm.Name) })
	}
	t.Cleanup(w.stop)
	return w
}

func (w *sheetWatch) stop() {
	close(w.done)
	w.work.Wait()
}

func (w *sheetWatch) follow(vm string) {
	client := http.Client{Timeout: adminTimeout}
	for {
		w.look(&client, vm)
		select {
		case <-time.After(lookEvery):
		case <-w.done:
			return
		}
	}
}

func (w *sheetWatch) look(client *http.Client, vm string) {
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

// inForce waits until the VMs' nodes have exactly this sheet version. It returns fleet.ErrNotReady after
// the limit.
func (w *sheetWatch) inForce(version int64, limit time.Duration, vms []string) error {
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
func applySheet(t *testing.T, s *Scene, name string) int64 {
	t.Helper()
	path := filepath.Join(s.Fleet.Dir, name+".csv")
	text := sheet + name + ",keyed,,,alfold,,,4\n"
	must(t, os.WriteFile(path, []byte(text), 0o600))
	out, err := s.Fleet.Relay("sheet", "apply", path)
	must(t, err)
	_, rest, _ := strings.Cut(out, "accepted as version ")
	version, err := strconv.ParseInt(strings.SplitN(rest, ";", 2)[0], 10, 64)
	must(t, err)
	return version
}

func others(s *Scene, lost string) []string {
	var names []string
	for _, vm := range s.Fleet.VMs {
		if vm.Name != lost {
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
		name  string
		hit   role
		fault action
		// last is how long the fault lasts before heal.
		last time.Duration
		heal action
		// lost means that the VM stays down.
		lost bool
	}{
		{name: "no fault", hit: plain, fault: wait(0)},
		{name: "controller killed", hit: controller, fault: killVM, lost: true},
		{name: "controller paused", hit: controller, fault: pauseNode, last: 5 * time.Second, heal: resumeNode},
		{name: "late node", hit: plain, fault: killNode, last: 2 * time.Second,
			heal: startNode},
		{name: "store down", hit: plain, last: 8 * time.Second, heal: healStore,
			fault: storeIs(store.FaultsMessage{Down: true})},
		{name: "watch broken", hit: plain, last: 3 * time.Second, heal: healStore,
			fault: storeIs(store.FaultsMessage{WatchBroken: true})},
		{name: "stale watch, then controller killed", hit: controller, last: 5 * time.Second, heal: healStore, lost: true,
			fault: both(storeIs(store.FaultsMessage{StaleWatch: true}), killVM)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := scene(t, nil)
			w := watchSheets(t, s)
			vms := c.hit(t, s)
			version := applySheet(t, s, "tools")
			c.fault(t, s, vms)
			time.Sleep(c.last)
			if c.heal != nil {
				c.heal(t, s, vms)
			}
			began := time.Now()
			expected := others(s, "")
			if c.lost {
				expected = others(s, vms[0])
			}
			if err := w.inForce(version, inForceIn, expected); err != nil {
				t.Errorf("sheet version %d is not in force on every node; versions: %v", version, w.versions)
			}
			t.Logf("in force on every node %v after acceptance or the end of the fault", time.Since(began).Round(time.Millisecond))
			settle(t, s)
			must(t, s.CheckLogs())
		})
	}
}

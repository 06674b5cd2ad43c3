package scale

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
)

// buildPrograms builds the programs of the fleet into a temporary folder and returns it.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, at := range []struct{ folder, packages string }{
		{"../../cmd/auburnrelay", "."}, {"..", "./cmd/..."},
	} {
		cmd := exec.Command("go", "build", "-o", dir+"/", at.packages)
		cmd.Dir = at.folder
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("go build in %s: %v: %s", at.folder, err, out)
		}
	}
	return dir
}

// TestRun measures one small cell for a second and checks that each source yields figures.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	err := Run(t.Context(), Options{Bin: buildPrograms(t), Sizes: []int{4}, Window: time.Second, Seed: 1, Out: &out})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"controller-cell-bytes", "controller-resident", "controller-heap", "sheet-in-force", "loss-store-writes"} {
		_, rest, found := strings.Cut(out.String(), "scale "+name+" nodes=4 ")
		if value, _, _ := strings.Cut(rest, " "); !found || value == "0" {
			t.Errorf("%s: found %t, value %q", name, found, value)
		}
	}
}

// TestNodesCountBytesOfTheirServer checks that a node's byte counters include the account
// reports that it receives. These arrive on connections that the node accepted, not on those
// that it dialled.
func TestNodesCountBytesOfTheirServer(t *testing.T) {
	b, err := openTestbed(Options{Bin: buildPrograms(t)}, cellVMs(3))
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	var m nodeMetrics
	err = fleet.Await(30*time.Second, func() bool {
		s, err := b.controllerStatus()
		if err != nil || s.Controller == "" {
			return false
		}
		m, err = readMetrics(b.fleet.AdminURL(s.Controller))
		return err == nil && m.account > 0
	})
	if err != nil {
		t.Errorf("%+v: %v", m, err)
	}
}

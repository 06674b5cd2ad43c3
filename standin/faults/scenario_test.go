package faults

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// recoveryLimit is the limit promised to users on the time that a key goes unserved after a loss.
const recoveryLimit = 3 * time.Second

// newScenario starts a scenario with four VMs and closes it when the test ends. The function change, if not nil,
// modifies the options.
func newScenario(t *testing.T, change func(o *Options)) *Scenario {
	t.Helper()
	o := Options{Bin: bin, Dir: scenarioDir(t), VMs: 4}
	if change != nil {
		change(&o)
	}
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// keepDirEnv is the environment variable with a folder in which the settings and logs of scenarios are kept.
// Without it they are deleted after the test.
const keepDirEnv = "AUBURNRELAY_SCENES"

func scenarioDir(t *testing.T) string {
	root := os.Getenv(keepDirEnv)
	if root == "" {
		return t.TempDir()
	}
	must(t, os.MkdirAll(root, 0o700))
	dir, err := os.MkdirTemp(root, filepath.Base(strings.ReplaceAll(t.Name(), " ", "_"))+"-")
	must(t, err)
	return dir
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// vmSelector selects VMs, usually by the role of their nodes in the cell.
type vmSelector func(t *testing.T, s *Scenario) []string

func noVMs(*testing.T, *Scenario) []string { return nil }

func controller(t *testing.T, s *Scenario) []string {
	record, err := s.Record()
	must(t, err)
	return []string{record.Controller.Name}
}

func standby(t *testing.T, s *Scenario) []string {
	record, err := s.Record()
	must(t, err)
	return []string{record.Standby.Name}
}

func controllerAndStandby(t *testing.T, s *Scenario) []string {
	return append(controller(t, s), standby(t, s)...)
}

func controllerDomainVMs(t *testing.T, s *Scenario) []string {
	return s.DomainVMs(controller(t, s)[0])
}

func plainVM(t *testing.T, s *Scenario) []string {
	name, err := s.PlainVM()
	must(t, err)
	return []string{name}
}

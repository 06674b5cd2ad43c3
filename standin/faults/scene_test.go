package faults

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// servedAgainIn is the limit promised to users on the time that a key goes unserved after a loss.
const servedAgainIn = 3 * time.Second

// scene opens a scene with four VMs and closes it when the test ends. The function change, if not nil,
// modifies the options.
func scene(t *testing.T, change func(o *Options)) *Scene {
	t.Helper()
	o := Options{Bin: bin, Dir: sceneDir(t), VMs: 4}
	if change != nil {
		change(&o)
	}
	s, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// keepDir is the environment variable with a folder in which the settings and logs of scenes are kept.
// Without it they are deleted after the test.
const keepDir = "AUBURNRELAY_SCENES"

func sceneDir(t *testing.T) string {
	root := os.Getenv(keepDir)
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

// role selects VMs, usually by the role of their nodes in the cell.
type role func(t *testing.T, s *Scene) []string

func nobody(*testing.T, *Scene) []string { return nil }

func controller(t *testing.T, s *Scene) []string {
	record, err := s.Record()
	must(t, err)
	return []string{record.Controller.Name}
}

func standby(t *testing.T, s *Scene) []string {
	record, err := s.Record()
	must(t, err)
	return []string{record.Standby.Name}
}

func controllerAndStandby(t *testing.T, s *Scene) []string {
	return append(controller(t, s), standby(t, s)...)
}

func controllersDomain(t *testing.T, s *Scene) []string {
	return s.Domain(controller(t, s)[0])
}

func plain(t *testing.T, s *Scene) []string {
	name, err := s.Plain()
	must(t, err)
	return []string{name}
}

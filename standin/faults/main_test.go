package faults

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// bin is the folder of the programs that the scenarios start.
var bin string

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "auburnrelay-faults-")
	if err != nil {
		panic(err)
	}
	bin = dir
	code := 1
	if build(dir) {
		code = m.Run()
		printDistribution()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

func build(dir string) bool {
	for module, packages := range map[string]string{"cmd/auburnrelay": ".", "standin": "./cmd/..."} {
		cmd := exec.Command("go", "build", "-o", dir+"/", packages)
		cmd.Dir = filepath.Join("..", "..", module)
		if out, err := cmd.CombinedOutput(); err != nil {
			fmt.Printf("build %s: %v\n%s", module, err, out)
			return false
		}
	}
	return true
}

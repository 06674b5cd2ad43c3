package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Parse([]byte(d.Input))
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Errorf("%s: the error does not match ErrInvalid", d.Pos)
			}
			return err.Error() + "\n"
		}
		text, err := s.Print()
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	})
}

func TestPrintedSettingsParse(t *testing.T) {
	for _, name := range []string{"horsebox", "lending"} {
		s, err := Load(filepath.Join("..", "..", "examples", name, "node.toml"))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		text, err := s.Print()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(text)
		if err != nil || *again != *s {
			t.Errorf("%s: printed settings read as %+v, %v", name, again, err)
		}
	}
}

func TestLoadMissingFile(t *testing.T) {
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v", err)
	}
}

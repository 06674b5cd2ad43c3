package settings

import (
	"os"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Load reads the settings file at path, fills in defaults and validates every field. The
// error wraps that of reading the file, or a Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	if err != nil {
		return nil, errors.Wrapf(err, "settings %s", path)
	}
	return s, nil
}

// Parse is Load for the content of a file.
func Parse(data []byte) (*Settings, error) {
	tree := map[string]any{}
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, Faults{syntaxFault(err)}
	}
	lines := indexLines(data)
	s := Defaults()
	faults := decodeFields(s, tree)
	s.Provision()
	faults = append(faults, s.check(faults.paths())...)
	if len(faults) == 0 {
		return s, nil
	}
	for i := range faults {
		faults[i].Line = lines[faults[i].Path]
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].less(faults[j]) })
	return nil, faults
}

// decodeFields decodes each field separately, because the decoder stops at the first
// invalid field.
func decodeFields(s *Settings, tree map[string]any) Faults {
	var faults Faults
	for section, value := range tree {
		fields, isTable := value.(map[string]any)
		if !isTable {
			faults = faults.appendError(section, decodeField(s, map[string]any{section: value}))
			continue
		}
		faults = append(faults, decodeSection(s, section, fields)...)
	}
	return faults
}

func decodeSection(s *Settings, section string, fields map[string]any) Faults {
	var faults Faults
	if len(fields) == 0 {
		empty := map[string]any{section: map[string]any{}}
		return faults.appendError(section, decodeField(s, empty))
	}
	for name, value := range fields {
		field := map[string]any{section: map[string]any{name: value}}
		faults = faults.appendError(section+"."+name, decodeField(s, field))
	}
	return faults
}

func decodeField(s *Settings, field map[string]any) error {
	text, err := toml.Marshal(field)
	if err != nil {
		return err
	}
	return toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(s)
}

// Print returns the settings, including defaults, as TOML.
func (s *Settings) Print() ([]byte, error) { return toml.Marshal(s) }

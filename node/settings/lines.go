package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexLines returns the line numbers of all sections and fields of a well-formed file, keyed by
// path.
func indexLines(data []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(data)
	section := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := keyPathAndLine(&parser, node)
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			section = path + "."
			lines[path] = line
		case unstable.KeyValue:
			lines[section+path] = line
		}
	}
	return lines
}

func keyPathAndLine(parser *unstable.Parser, node *unstable.Node) (path string, line int) {
	var parts []string
	keys := node.Key()
	for keys.Next() {
		part := keys.Node()
		parts = append(parts, string(part.Data))
		line = parser.Shape(part.Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}

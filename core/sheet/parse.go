package sheet

import (
	"bytes"
	"path"
	"strconv"
	"strings"

	"golang.org/x/text/unicode/norm"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// Names of the sheet's columns.
const (
	fieldService = "service"
	fieldKind    = "kind"
	fieldFrom    = "from"
	fieldTo      = "to"
	fieldRegion  = "region"
	fieldCell    = "cell"
	fieldTargets = "targets"
	fieldSlices  = "slices"
)

// Parse reads and validates a sheet. The error is of type Faults. The layout's Version is zero.
func Parse(text []byte) (keyspace.Layout, error) {
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	table, faults := readTable(text)
	if len(faults) > 0 && len(table.rows) == 0 {
		return keyspace.Layout{}, faults.sorted()
	}
	p := parser{faults: faults, incomplete: map[string]bool{}}
	p.incomplete[""] = len(faults) > 0
	for _, row := range table.rows {
		p.parseRow(row)
	}
	layout := p.layout()
	if len(p.faults) > 0 {
		return keyspace.Layout{}, p.faults.sorted()
	}
	return layout, nil
}

// parsedRow is a valid row and the range that it defines.
type parsedRow struct {
	row
	r keyspace.Range
}

type parser struct {
	rows   []parsedRow
	faults Faults
	// incomplete holds the services that have rows with faults. The empty name stands for any
	// service.
	incomplete map[string]bool
}

func (p *parser) addFault(at row, field, problem string) {
	position := at.position(field)
	p.faults = append(p.faults, Fault{Line: position.line, Column: position.column, Field: field, Problem: problem})
}

func (p *parser) parseRow(at row) {
	before := len(p.faults)
	r := keyspace.Range{
		Service: p.name(at, fieldService, true),
		Kind:    p.kind(at),
		From:    p.bound(at, fieldFrom),
		To:      p.bound(at, fieldTo),
		Slices:  p.slices(at),
		Targets: p.targets(at),
		Line:    at.line,
	}
	r.Region = p.name(at, fieldRegion, r.Kind != keyspace.Shared)
	r.Cell = CellOrRegion(p.name(at, fieldCell, false), r.Region)
	if r.To != "" && r.From >= r.To {
		p.addFault(at, fieldTo, "the range is empty: "+strconv.Quote(r.To)+" is not after "+strconv.Quote(r.From))
	}
	if r.Region == "" && r.Cell != "" {
		p.addFault(at, fieldCell, "a cell requires a region")
	}
	if len(p.faults) > before {
		p.incomplete[r.Service] = true
		return
	}
	p.rows = append(p.rows, parsedRow{row: at, r: r})
}

func (p *parser) name(at row, field string, required bool) string {
	text := norm.NFC.String(strings.TrimSpace(at.field(field)))
	if text == "" {
		if required {
			p.addFault(at, field, "missing")
		}
		return ""
	}
	if !ValidName(text) {
		p.addFault(at, field, strconv.Quote(text)+" is not a name: letters, digits, '.', '_' and '-' only, a letter or digit first, at most 64 bytes")
	}
	return text
}

func (p *parser) kind(at row) keyspace.Kind {
	text := strings.ToLower(strings.TrimSpace(at.field(fieldKind)))
	switch text {
	case keyspace.Keyed.String():
		return keyspace.Keyed
	case keyspace.Shared.String():
		return keyspace.Shared
	case "":
		p.addFault(at, fieldKind, "missing")
	default:
		p.addFault(at, fieldKind, strconv.Quote(text)+" is not a kind: keyed or shared")
	}
	return keyspace.Keyed
}

// bound reads a key. Keys are compared byte by byte, so they are neither trimmed nor
// normalized.
func (p *parser) bound(at row, field string) string {
	text := at.field(field)
	if text != strings.TrimSpace(text) {
		p.addFault(at, field, "the key "+strconv.Quote(text)+" starts or ends with a space")
	}
	if !norm.NFC.IsNormalString(text) {
		p.addFault(at, field, "the key "+strconv.Quote(text)+" has accents as separate characters (Unicode form NFC is needed)")
	}
	return text
}

func (p *parser) slices(at row) uint32 {
	text := strings.TrimSpace(at.field(fieldSlices))
	if text == "" {
		return DefaultSlices
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n < 1 || n > MaxSlices {
		p.addFault(at, fieldSlices, strconv.Quote(text)+" is not a whole number from 1 to "+strconv.Itoa(MaxSlices))
		return DefaultSlices
	}
	return uint32(n)
}

// targets reads glob patterns separated by spaces or '|'.
func (p *parser) targets(at row) []string {
	text := norm.NFC.String(at.field(fieldTargets))
	patterns := strings.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == '|' })
	for _, pattern := range patterns {
		if _, err := path.Match(pattern, ""); err != nil {
			p.addFault(at, fieldTargets, strconv.Quote(pattern)+" is not a glob pattern")
		}
	}
	return patterns
}

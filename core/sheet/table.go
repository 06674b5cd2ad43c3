package sheet

import (
	"bytes"
	"encoding/csv"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

var requiredFields = []string{fieldService, fieldKind, fieldFrom, fieldTo, fieldRegion}
var optionalFields = []string{fieldCell, fieldTargets, fieldSlices}

// position is a position in the file. Lines and columns are counted from one, columns in
// characters.
type position struct{ line, column int }

// row holds the fields of one row of a sheet and their positions by column name.
type row struct {
	line      int
	fields    map[string]string
	positions map[string]position
}

func (r row) field(name string) string { return r.fields[name] }

func (r row) position(name string) position {
	if at, ok := r.positions[name]; ok {
		return at
	}
	return position{line: r.line, column: 1}
}

type table struct{ rows []row }

// tableReader converts CSV records to rows.
type tableReader struct {
	csv    *csv.Reader
	lines  [][]byte
	header []string
	faults Faults
}

// readTable splits a sheet into rows and reports encoding, syntax and header faults.
func readTable(text []byte) (table, Faults) {
	r := tableReader{lines: bytes.Split(text, []byte("\n"))}
	if fault, bad := r.findInvalidUTF8(); bad {
		return table{}, Faults{fault}
	}
	r.csv = csv.NewReader(bytes.NewReader(text))
	r.csv.Comma = separator(r.lines)
	r.csv.FieldsPerRecord = -1
	if !r.readHeader() {
		return table{}, r.faults
	}
	return table{rows: r.readRows()}, r.faults
}

func (r *tableReader) findInvalidUTF8() (Fault, bool) {
	for i, line := range r.lines {
		if utf8.Valid(line) {
			continue
		}
		column := 1
		for rest := line; len(rest) > 0; column++ {
			char, size := utf8.DecodeRune(rest)
			if char == utf8.RuneError && size == 1 {
				break
			}
			rest = rest[size:]
		}
		return Fault{Line: i + 1, Column: column, Problem: "not UTF-8 text; export the sheet as UTF-8"}, true
	}
	return Fault{}, false
}

// separator returns the separator, comma or semicolon, that the header line contains more
// often.
func separator(lines [][]byte) rune {
	for _, line := range lines {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if bytes.Count(line, []byte(";")) > bytes.Count(line, []byte(",")) {
			return ';'
		}
		return ','
	}
	return ','
}

// next returns the next record that is not blank. It records syntax faults and continues after
// them.
func (r *tableReader) next() (record []string, ok bool) {
	for {
		record, err := r.csv.Read()
		if errors.Is(err, io.EOF) {
			return nil, false
		}
		if err != nil {
			r.addSyntaxFault(err)
			continue
		}
		if strings.TrimSpace(strings.Join(record, "")) != "" {
			return record, true
		}
	}
}

func (r *tableReader) addSyntaxFault(err error) {
	var syntax *csv.ParseError
	if !errors.As(err, &syntax) {
		r.faults = append(r.faults, Fault{Problem: err.Error()})
		return
	}
	at := r.characterPosition(syntax.Line, syntax.Column)
	r.faults = append(r.faults, Fault{Line: at.line, Column: at.column, Problem: syntax.Err.Error()})
}

func (r *tableReader) readHeader() bool {
	record, ok := r.next()
	if !ok {
		r.faults = append(r.faults, Fault{Problem: "the sheet is empty"})
		return false
	}
	for i, text := range record {
		name := strings.ToLower(strings.TrimSpace(text))
		r.checkColumn(name, r.fieldPosition(i))
		r.header = append(r.header, name)
	}
	for _, name := range requiredFields {
		if !slices.Contains(r.header, name) {
			at := r.fieldPosition(0)
			r.faults = append(r.faults, Fault{Line: at.line, Column: at.column, Field: name, Problem: "the column is missing"})
		}
	}
	return len(r.faults) == 0
}

func (r *tableReader) checkColumn(name string, at position) {
	problem := ""
	if !slices.Contains(requiredFields, name) && !slices.Contains(optionalFields, name) {
		problem = "unknown column " + strconv.Quote(name)
	}
	if slices.Contains(r.header, name) {
		problem = "the column " + strconv.Quote(name) + " is listed twice"
	}
	if problem != "" {
		r.faults = append(r.faults, Fault{Line: at.line, Column: at.column, Problem: problem})
	}
}

func (r *tableReader) readRows() []row {
	var rows []row
	for {
		record, ok := r.next()
		if !ok {
			return rows
		}
		rows = append(rows, r.newRow(record))
	}
}

func (r *tableReader) newRow(record []string) row {
	out := row{line: r.fieldPosition(0).line, fields: map[string]string{}, positions: map[string]position{}}
	for i, text := range record {
		at := r.fieldPosition(i)
		if i < len(r.header) {
			out.fields[r.header[i]] = text
			out.positions[r.header[i]] = at
			continue
		}
		if strings.TrimSpace(text) != "" {
			r.faults = append(r.faults, Fault{Line: at.line, Column: at.column, Problem: "more fields than the header has"})
		}
	}
	return out
}

// fieldPosition returns the position of a field of the last record read.
func (r *tableReader) fieldPosition(field int) position {
	line, column := r.csv.FieldPos(field)
	return r.characterPosition(line, column)
}

// characterPosition converts a column counted in bytes to one counted in characters.
func (r *tableReader) characterPosition(line, column int) position {
	text := r.lines[line-1]
	end := min(max(column-1, 0), len(text))
	return position{line: line, column: utf8.RuneCount(text[:end]) + 1}
}

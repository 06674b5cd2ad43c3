package sheet

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// layout groups the rows by service and runs the checks that span several rows.
func (p *parser) layout() keyspace.Layout {
	if len(p.rows) == 0 && len(p.faults) == 0 {
		p.faults = append(p.faults, Fault{Problem: "the sheet has no rows"})
	}
	p.checkCells()
	var layout keyspace.Layout
	for _, rows := range p.byService() {
		p.checkKinds(rows)
		p.checkCoverage(rows)
		layout.Services = append(layout.Services, newService(rows))
	}
	return layout
}

func newService(rows []parsedRow) keyspace.Service {
	service := keyspace.Service{Name: rows[0].r.Service, Kind: rows[0].r.Kind}
	for _, row := range rows {
		service.Ranges = append(service.Ranges, row.r)
	}
	return service
}

// byService returns the rows grouped by service, each group ordered by first key.
func (p *parser) byService() [][]parsedRow {
	rows := append([]parsedRow(nil), p.rows...)
	sort.SliceStable(rows, func(i, j int) bool {
		if rows[i].r.Service != rows[j].r.Service {
			return rows[i].r.Service < rows[j].r.Service
		}
		return rows[i].r.From < rows[j].r.From
	})
	var groups [][]parsedRow
	for start := 0; start < len(rows); {
		end := start
		for end < len(rows) && rows[end].r.Service == rows[start].r.Service {
			end++
		}
		groups = append(groups, rows[start:end])
		start = end
	}
	return groups
}

func (p *parser) checkKinds(rows []parsedRow) {
	for _, row := range rows[1:] {
		if row.r.Kind != rows[0].r.Kind {
			p.addFault(row.row, fieldKind, fmt.Sprintf("service %q is %s on line %d", row.r.Service, rows[0].r.Kind, rows[0].line))
		}
	}
}

// checkCells reports cells that are listed with more than one region.
func (p *parser) checkCells() {
	first := map[string]parsedRow{}
	for _, row := range p.rows {
		previous, known := first[row.r.Cell]
		if !known {
			first[row.r.Cell] = row
			continue
		}
		if previous.r.Region != row.r.Region {
			p.addFault(row.row, fieldRegion, fmt.Sprintf("cell %q is in region %q on line %d", row.r.Cell, previous.r.Region, previous.line))
		}
	}
}

// checkCoverage reports gaps and overlaps between the ranges of a service.
func (p *parser) checkCoverage(rows []parsedRow) {
	if rows[0].r.From != "" {
		p.addGapFault(rows[0], fieldFrom, "no range covers the keys before "+strconv.Quote(rows[0].r.From))
	}
	furthest := rows[0]
	for _, row := range rows[1:] {
		p.checkAdjacent(furthest, row)
		if furthest.r.To != "" && (row.r.To == "" || row.r.To > furthest.r.To) {
			furthest = row
		}
	}
	if furthest.r.To != "" {
		p.addGapFault(furthest, fieldTo, "no range covers the keys from "+strconv.Quote(furthest.r.To)+" on")
	}
}

func (p *parser) checkAdjacent(previous, row parsedRow) {
	if previous.r.Overlaps(row.r) {
		p.addFault(row.row, fieldFrom, fmt.Sprintf("the range overlaps line %d", previous.line))
		return
	}
	if previous.r.To < row.r.From {
		p.addGapFault(row, fieldFrom, fmt.Sprintf("no range covers the keys from %q to %q", previous.r.To, row.r.From))
	}
}

// addGapFault reports keys that no range covers, unless a row with faults may have covered them.
func (p *parser) addGapFault(at parsedRow, field, problem string) {
	if !p.incomplete[at.r.Service] && !p.incomplete[""] {
		p.addFault(at.row, field, problem)
	}
}

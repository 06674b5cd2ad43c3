package capacity

import "strings"

const (
	// nodeBytesBudget, nodeCPUBudget and nodeMemoryBudget limit what a node may use for the
	// control plane: bytes per second, percent of a core, and megabytes.
	nodeBytesBudget  = 21_000
	nodeCPUBudget    = 2.2
	nodeMemoryBudget = 64
	// sheetBudget is the maximum time until a sheet is in force on all nodes, in seconds.
	sheetBudget = 9
	// storeWriteBudget and storeReadBudget are the maximum rates of the store, in calls per
	// second.
	storeWriteBudget = 300
	storeReadBudget  = 2000

	// watchesPerController is the number of watches that a cell's controller keeps open: one
	// each for the sheet, the cells' records and the planned stops.
	watchesPerController = 3
	// watchSeconds is how long a watch without a change waits before it is repeated.
	watchSeconds = 5
	// recordWritesPerRestart is the number of writes of the cell's record for the restart of a
	// node: the node leaves and joins, and its slices move back.
	recordWritesPerRestart = 4
	secondsPerDay          = 86400
	secondsPerHour         = 3600
	// regions is the number of regions; each has two failure domains.
	regions = 3
	// spreadSeconds is the time over which the writes of the affected cells are spread after a
	// failure domain is lost.
	spreadSeconds = 3
)

// table collects the rows that are computed from slopes.
type table struct {
	slopes Slopes
	rows   []Row
}

// add appends a row that depends on the named slopes. value is called only if all of them are
// measured; its argument returns the value of a slope.
func (t *table) add(role, quantity, unit string, budget float64, names []string, value func(slope func(string) float64) float64) {
	row := Row{Role: role, Quantity: quantity, Unit: unit, Budget: budget, Known: true, From: strings.Join(names, ", ")}
	for _, name := range names {
		row.Known = row.Known && t.slopes[name].Measured
	}
	if len(names) == 0 {
		row.From = "arithmetic"
	}
	if row.Known {
		row.Value = value(func(name string) float64 { return t.slopes[name].Value })
	}
	t.rows = append(t.rows, row)
}

func (t *table) addComputed(role, quantity, unit string, budget, value float64) {
	t.add(role, quantity, unit, budget, nil, func(func(string) float64) float64 { return value })
}

// Rows computes the rows of the table for a size.
func Rows(s Size, slopes Slopes) []Row {
	t := &table{slopes: slopes}
	t.addNode(s)
	t.addController(s)
	t.addStore(s)
	return t.rows
}

func (t *table) addNode(s Size) {
	perNode := s.RequestsPerSecond / s.Nodes
	t.addComputed("entry", "requests", "1/s", 0, perNode)
	t.add("entry", "processor time", "cores", 0, []string{"entry_cpu_us"}, func(slope func(string) float64) float64 {
		return perNode * slope("entry_cpu_us") / 1e6
	})
	t.add("owner side", "processor time", "cores", 0, []string{"owner_cpu_us"}, func(slope func(string) float64) float64 {
		return perNode * slope("owner_cpu_us") / 1e6
	})
	t.addComputed("owner side", "slices held", "slices", 0, s.SlicesPerNode)
	t.add("entry", "route table", "MB", nodeMemoryBudget, []string{"route_bytes_per_slice"}, func(slope func(string) float64) float64 {
		return s.Nodes * s.SlicesPerNode * slope("route_bytes_per_slice") / 1e6
	})
	t.add("node", "memory, at rest, with the route table", "MB", nodeMemoryBudget, []string{"plain_memory_mb", "route_bytes_per_slice"}, func(slope func(string) float64) float64 {
		return slope("plain_memory_mb") + s.Nodes*s.SlicesPerNode*slope("route_bytes_per_slice")/1e6
	})
	t.add("node", "account reports", "B/s", 0, []string{"report_bytes_fixed", "report_bytes_per_line"}, func(slope func(string) float64) float64 {
		return (slope("report_bytes_fixed") + s.LinesPerNode*slope("report_bytes_per_line")) / s.ReportSeconds
	})
}

func (t *table) addController(s Size) {
	t.add("controller", "bytes of control", "B/s", nodeBytesBudget, []string{"controller_bytes_fixed", "controller_bytes_per_node"}, func(slope func(string) float64) float64 {
		return slope("controller_bytes_fixed") + s.NodesPerCell*slope("controller_bytes_per_node")
	})
	t.add("node", "control, mean of a cell at rest", "% of a core", nodeCPUBudget, []string{"cell_cpu_percent_per_node"}, func(slope func(string) float64) float64 {
		return slope("cell_cpu_percent_per_node")
	})
	t.add("controller", "control at rest", "% of a core", nodeCPUBudget, []string{"controller_cpu_percent"}, func(slope func(string) float64) float64 {
		return slope("controller_cpu_percent")
	})
	t.add("controller", "memory", "MB", nodeMemoryBudget, []string{"controller_memory_mb"}, func(slope func(string) float64) float64 {
		return slope("controller_memory_mb")
	})
	t.add("controller", "account reports received", "B/s", 0, []string{"report_bytes_fixed", "report_bytes_per_line"}, func(slope func(string) float64) float64 {
		return s.NodesPerCell * (slope("report_bytes_fixed") + s.LinesPerNode*slope("report_bytes_per_line")) / s.ReportSeconds
	})
	both := []string{"controller_bytes_fixed", "controller_bytes_per_node", "report_bytes_fixed", "report_bytes_per_line"}
	t.add("controller", "bytes of control and reports", "B/s", nodeBytesBudget, both, func(slope func(string) float64) float64 {
		reports := (slope("report_bytes_fixed") + s.LinesPerNode*slope("report_bytes_per_line")) / s.ReportSeconds
		return slope("controller_bytes_fixed") + s.NodesPerCell*(slope("controller_bytes_per_node")+reports)
	})
	names := []string{"segment_bytes_fixed", "segment_bytes_per_line", "segment_bytes_per_process"}
	t.add("controller", "one segment of the account", "kB", 1000, names, func(slope func(string) float64) float64 {
		lines := s.LinesPerNode * s.NodesPerCell
		return (slope("segment_bytes_fixed") + lines*slope("segment_bytes_per_line") + s.NodesPerCell*slope("segment_bytes_per_process")) / 1000
	})
	t.add("sheet", "time until it is in force in one cell", "s", sheetBudget, []string{"sheet_seconds"}, func(slope func(string) float64) float64 {
		return slope("sheet_seconds")
	})
	t.add("sheet", "time until it is in force in all cells", "s", sheetBudget, []string{"sheet_seconds_all_cells"}, func(slope func(string) float64) float64 {
		return slope("sheet_seconds_all_cells")
	})
}

func (t *table) addStore(s Size) {
	segments := s.Cells() / s.SegmentSeconds
	sheets := 2 * s.SheetsPerDay / secondsPerDay
	// Each controller writes its record once for each sheet.
	records := s.Cells() * s.SheetsPerDay / secondsPerDay
	atRest := segments + sheets + records
	// A failure domain belongs to one region, which has a third of the cells, and every cell of
	// the region has nodes in the lost domain.
	domainCells := s.Cells() / regions
	restarts := s.RestartsPerDay * s.RestartShare / secondsPerHour
	t.addComputed("store", "cells", "cells", 0, s.Cells())
	t.addComputed("store", "writes at rest", "1/s", storeWriteBudget, atRest)
	t.addComputed("store", "polls at rest", "1/s", storeReadBudget, s.Cells()*watchesPerController/watchSeconds)
	t.addComputed("store", "writes in a morning's restarts", "1/s", storeWriteBudget, atRest+restarts*(recordWritesPerRestart+1))
	t.addComputed("store", "writes when a failure domain is lost", "1/s", storeWriteBudget,
		atRest+2*domainCells/spreadSeconds)
	t.addComputed("store", "reads right after an outage", "1/s", storeReadBudget, watchesPerController*s.Cells())
}

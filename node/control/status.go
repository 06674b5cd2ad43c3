package control

import (
	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// Owner is one entry of the node's route table: a slice and its owner.
type Owner struct {
	Slice  string `json:"slice"`
	Owner  string `json:"owner"`
	Moving bool   `json:"moving"`
}

// MemberStatus is the state of one node of the cell. Nodes other than the controller know only
// Peer.
type MemberStatus struct {
	Peer         plane.Peer `json:"peer"`
	SilentMillis int64      `json:"silent_ms"`
	Slices       int        `json:"slices"`
	Leaving      bool       `json:"leaving"`
}

// Status is the state of the node within its cell.
type Status struct {
	Node         string         `json:"node"`
	Incarnation  uint64         `json:"incarnation"`
	Cell         string         `json:"cell"`
	SheetVersion int64          `json:"sheet_version"`
	Epoch        uint64         `json:"epoch"`
	Controller   string         `json:"controller"`
	Standby      string         `json:"standby"`
	IsController bool           `json:"is_controller"`
	HasAuthority bool           `json:"has_authority"`
	Quiet        bool           `json:"quiet"`
	StoreHealthy bool           `json:"store_healthy"`
	InDoubt      bool           `json:"in_doubt"`
	Leases       int            `json:"leases"`
	Moving       int            `json:"moving"`
	Members      []MemberStatus `json:"members"`
	Owners       []Owner        `json:"owners"`
}

// Status returns the node's state as of its last update, with the owners in the current routes.
func (c *Control) Status() Status {
	c.statusMu.Lock()
	s := c.status
	c.statusMu.Unlock()
	if table := c.view.Load().Table; table != nil {
		for _, id := range sortedRoutes(table) {
			r := table.Routes[id]
			s.Owners = append(s.Owners, Owner{Slice: id.String(), Owner: r.Owner, Moving: r.Moving})
		}
	}
	return s
}

// Controller returns the controller of the node's cell as of the last status update; its name is
// empty if the controller is not known.
func (c *Control) Controller() plane.Peer {
	c.statusMu.Lock()
	defer c.statusMu.Unlock()
	return c.controller
}

// RecordedNodes returns the processes listed in the cell's record. A lost process is among them
// until it has been removed from the record.
func (c *Control) RecordedNodes() []cell.Node {
	c.statusMu.Lock()
	defer c.statusMu.Unlock()
	return c.recorded
}

func (c *Control) publishStatus() {
	m := c.machine.Status()
	s := Status{
		Node: c.cfg.Self.Name, Incarnation: c.cfg.Self.Incarnation, Cell: c.cfg.Cell,
		SheetVersion: m.SheetVersion, Epoch: m.Epoch, Controller: m.Controller.Name, Standby: m.Standby.Name,
		IsController: m.IsController, HasAuthority: m.HasAuthority, Quiet: m.QuietTime,
		StoreHealthy: !m.StoreDown, InDoubt: m.InDoubt, Leases: m.Held, Moving: m.Moving,
	}
	for _, n := range m.Members {
		s.Members = append(s.Members, MemberStatus{
			Peer: peerOf(n.Member, c.cfg.Cell), SilentMillis: n.Silent.Milliseconds(), Slices: n.Slices, Leaving: n.Leaving,
		})
	}
	if len(s.Members) == 0 {
		s.Members = membersFromTable(c.view.Load().Table, c.cfg.Cell)
	}
	c.metrics.observe(m)
	c.statusMu.Lock()
	c.status = s
	c.controller = peerOf(m.ControllerMember, c.cfg.Cell)
	c.recorded = m.Recorded
	c.statusMu.Unlock()
}

// membersFromTable returns the nodes in the route table, sorted by name.
func membersFromTable(table *cell.Table, cellName string) []MemberStatus {
	if table == nil {
		return nil
	}
	var out []MemberStatus
	for _, name := range sortedMembers(table) {
		out = append(out, MemberStatus{Peer: peerOf(table.Members[name], cellName)})
	}
	return out
}

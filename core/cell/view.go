package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// View is the state that the request side routes by. Its parts are immutable.
type View struct {
	Sheet *keyspace.Layout
	Table *Table
	Cells CellsView
}

// View returns the current sheet, route table and view of the other cells.
func (m *Machine) View() View { return View{Sheet: m.sheet, Table: m.table, Cells: m.cells} }

// MemberStatus is the controller's view of one node of the cell.
type MemberStatus struct {
	Member Member
	// Silent is the time since the node's last heartbeat.
	Silent  time.Duration
	Slices  int
	Leaving bool
}

// Status describes the machine for operators.
type Status struct {
	Epoch      uint64
	Controller Node
	// ControllerMember is the controller with its addresses.
	ControllerMember Member
	Standby          Node
	// IsController tells that this node is the controller, HasAuthority that it may grant,
	// QuietTime that it is in its quiet time.
	IsController bool
	HasAuthority bool
	QuietTime    bool
	SheetVersion int64
	StoreDown    bool
	// InDoubt tells that a write of the record is in doubt.
	InDoubt bool
	// Held counts the leases of this node, Moving the planned moves in progress.
	Held    int
	Moving  int
	Members []MemberStatus
	// Recorded lists the nodes in the record.
	Recorded []Node
	Table    TableVersion
}

// Status returns the machine's state.
func (m *Machine) Status() Status {
	s := Status{Epoch: m.epoch, Controller: m.controllerMember.Node, ControllerMember: m.controllerMember, StoreDown: m.storeDown, Held: len(m.holder.held)}
	s.InDoubt = m.write != nil && m.write.unknown
	if m.record != nil && m.record.Epoch == m.epoch {
		s.Standby = m.record.Standby
	}
	if m.record != nil {
		for _, n := range m.record.Nodes {
			s.Recorded = append(s.Recorded, n.Node)
		}
	}
	if m.sheet != nil {
		s.SheetVersion = m.sheet.Version
	}
	if m.table != nil {
		s.Table = m.table.Version
	}
	if c := m.ctl; c != nil {
		s.IsController, s.HasAuthority, s.QuietTime = true, m.hasAuthority(), c.quiet
		s.Moving = len(c.moves)
		for _, name := range sortedNames(c.members) {
			n := c.members[name]
			s.Members = append(s.Members, MemberStatus{
				Member: n.Member, Silent: m.now - n.lastSeen, Slices: len(c.routes.owned[name]), Leaving: n.leaving,
			})
		}
	}
	return s
}

package cell

import (
	"slices"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// route is the controller's route of one slice.
type route struct {
	owner  string
	seq    uint64
	moving bool
	// changed is the table number at which the route last changed.
	changed uint64
}

// routes is the controller's route table, with the version numbers needed to compute deltas.
type routes struct {
	version TableVersion
	slices  map[keyspace.SliceID]route
	owned   map[string][]keyspace.SliceID
	hot     []HotKey
	// hotVersion is the version at which the hot keys last changed.
	hotVersion TableVersion
	// A node whose version number is lower than membersBelow needs all members, one whose number
	// is lower than fullBelow the whole table.
	membersBelow uint64
	fullBelow    uint64
}

func (r *routes) init(epoch uint64) {
	r.version = TableVersion{Epoch: epoch, Number: 1}
	r.slices = make(map[keyspace.SliceID]route)
	r.owned = make(map[string][]keyspace.SliceID)
	r.membersBelow = 1
}

func (r *routes) membersChanged() {
	r.version.Number++
	r.membersBelow = r.version.Number
}

// refreshRoutes recomputes the route table from the record, the activations and the moves, and
// pokes new owners so that their grants reach them without delay.
func (m *Machine) refreshRoutes() {
	c := m.ctl
	next := make(map[keyspace.SliceID]route, len(c.routes.slices))
	owned := make(map[string][]keyspace.SliceID)
	number := c.routes.version.Number + 1
	changed := false
	poke := make(map[string]bool)
	m.record.forEachSlice(func(id keyspace.SliceID, _ *RangeRecord, a *Assignment) {
		n := m.routeOf(id, a)
		old, had := c.routes.slices[id]
		n.changed = old.changed
		if !had || n.owner != old.owner || n.moving != old.moving {
			n.changed = number
			changed = true
		}
		if n.owner != "" && (!had || n.seq != old.seq) {
			poke[n.owner] = true
		}
		next[id] = n
		owned[n.owner] = append(owned[n.owner], id)
	})
	c.routes.replace(next, owned, number, changed)
	c.routes.setHotKeys(m.record)
	for _, name := range sortedNames(poke) {
		m.pokeMember(name)
	}
}

func (m *Machine) routeOf(id keyspace.SliceID, a *Assignment) route {
	c := m.ctl
	r := route{owner: a.Owner, seq: a.Seq}
	if act, ok := c.activations[id]; ok {
		r.owner, r.seq = act.owner, act.seq
	}
	if mv, ok := c.moves[id]; ok {
		if mv.seq != r.seq {
			delete(c.moves, id)
		} else {
			r.moving = true
		}
	}
	if f, ok := c.released[id]; ok && f.fence.Less(m.record.fence(r.seq)) {
		delete(c.released, id)
	}
	return r
}

func (r *routes) replace(next map[keyspace.SliceID]route, owned map[string][]keyspace.SliceID, number uint64, changed bool) {
	for id := range r.slices {
		if _, ok := next[id]; !ok {
			changed = true
			r.fullBelow = number
		}
	}
	r.slices, r.owned = next, owned
	if changed {
		r.version.Number = number
	}
}

func (r *routes) setHotKeys(rec *Record) {
	var hot []HotKey
	for _, rr := range rec.Ranges {
		for i, key := range rr.Hot {
			id := keyspace.SliceID{Range: rr.Range.ID(), Index: rr.Range.Slices + uint32(i)}
			hot = append(hot, HotKey{Slice: id, Key: key})
		}
	}
	if !slices.Equal(hot, r.hot) {
		r.hot = hot
		r.version.Number++
		r.hotVersion = r.version
	}
}

// delta returns the changes since the table version that a node has, nil if there are none.
func (r *routes) delta(have TableVersion, members map[string]*memberState) *TableDelta {
	if have == r.version {
		return nil
	}
	d := &TableDelta{To: r.version, Full: have.Epoch != r.version.Epoch || have.Number < r.fullBelow}
	since := have.Number
	if d.Full {
		since = 0
	}
	if since < r.membersBelow {
		for _, name := range sortedNames(members) {
			d.Members = append(d.Members, members[name].Member)
		}
	}
	if len(r.hot) > 0 && since < r.hotVersion.Number {
		d.Hot = r.hot
	}
	for _, id := range sortedSlices(r.slices) {
		if s := r.slices[id]; s.changed > since {
			d.Routes = append(d.Routes, SliceRoute{Slice: id, Owner: s.owner, Moving: s.moving})
		}
	}
	return d
}

// otherCells is the controller's view of the other cells.
type otherCells struct {
	// version is the store version of the view, number increases with each change of it.
	version int64
	number  uint64
	cells   map[string]otherCellState
}

type otherCellState struct {
	OtherCell
	changed uint64
}

// delta returns the changes since the version that a node has, nil if there are none.
func (o *otherCells) delta(epoch uint64, have TableVersion) *CellsView {
	to := TableVersion{Epoch: epoch, Number: o.number}
	if o.number == 0 || have == to {
		return nil
	}
	v := &CellsView{Version: to, Full: have.Epoch != epoch}
	for _, name := range sortedNames(o.cells) {
		if c := o.cells[name]; v.Full || c.changed > have.Number {
			v.Cells = append(v.Cells, c.OtherCell)
		}
	}
	return v
}

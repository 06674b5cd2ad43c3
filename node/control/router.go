package control

import (
	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/placement"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// routeView is an immutable snapshot of the routes that the node knows.
type routeView struct {
	cell.View
	self     plane.Peer
	byCell   map[string]cell.OtherCell
	replaced chan struct{}
}

func newRouteView(self plane.Peer, v cell.View) *routeView {
	r := &routeView{View: v, self: self, byCell: make(map[string]cell.OtherCell), replaced: make(chan struct{})}
	for _, c := range v.Cells.Cells {
		r.byCell[c.Cell] = c
	}
	return r
}

// publishRoutes replaces the view and closes the channel of the previous one, which wakes the
// requests that wait on Changed.
func (c *Control) publishRoutes() {
	old := c.view.Swap(newRouteView(c.cfg.Self, c.machine.View()))
	close(old.replaced)
}

// Changed implements plane.Router.
func (c *Control) Changed() <-chan struct{} { return c.view.Load().replaced }

// Locate implements plane.Router.
func (c *Control) Locate(service, key string) (plane.Route, error) {
	v := c.view.Load()
	if v.Sheet == nil {
		return plane.Route{}, errors.Wrap(plane.ErrNotReady, "no sheet received")
	}
	r, err := v.Sheet.Locate(service, key)
	if err != nil {
		return plane.Route{}, errors.Wrap(err, "locate")
	}
	route := plane.Route{Range: r, SheetVersion: v.Sheet.Version}
	switch {
	case r.Kind == keyspace.Shared:
		route.Slice = r.SliceOf(key)
		route.Candidates = v.candidates(r)
	case v.cellOf(r) == c.cfg.Cell:
		v.locateInOwnCell(&route, key)
	default:
		route.Slice = r.SliceOf(key)
		route.Contacts = v.contacts(r)
		route.Owner = c.owners.owner(route.Slice)
	}
	return route, nil
}

func (v *routeView) cellOf(r keyspace.Range) string {
	if r.Cell != "" {
		return r.Cell
	}
	return r.Region
}

// locateInOwnCell fills in the slice and the owner of a key in the node's own cell.
func (v *routeView) locateInOwnCell(route *plane.Route, key string) {
	route.Slice = v.Table.SliceOf(route.Range, key)
	if v.Table == nil {
		return
	}
	s := v.Table.Routes[route.Slice]
	route.Moving = s.Moving
	if m, ok := v.Table.Members[s.Owner]; ok && s.Owner != "" {
		route.Owner = peerOf(m, v.self.Cell)
	}
}

// contacts returns nodes of the cell that holds the range or, if no cell reports it, of the cell
// that the sheet assigns it to.
func (v *routeView) contacts(r keyspace.Range) []plane.Peer {
	found, ok := v.byCell[v.cellOf(r)]
	id := r.ID()
	for _, c := range v.Cells.Cells {
		for _, held := range c.RangeIDs {
			if held == id {
				found, ok = c, true
			}
		}
	}
	if !ok {
		return nil
	}
	out := make([]plane.Peer, 0, len(found.Contacts))
	for _, m := range found.Contacts {
		out = append(out, peerOf(m, found.Cell))
	}
	return out
}

// candidates returns the nodes with a ready target that may serve a shared range.
func (v *routeView) candidates(r keyspace.Range) []plane.Peer {
	var out []plane.Peer
	add := func(m cell.Member, cellName string) {
		if m.Target.State != cell.TargetReady || !placement.Allowed(r.Targets, m.Name) {
			return
		}
		if r.Region == "" || r.Region == m.Region {
			out = append(out, peerOf(m, cellName))
		}
	}
	if v.Table != nil {
		for _, m := range v.Table.Members {
			add(m, v.self.Cell)
		}
	}
	for _, c := range v.Cells.Cells {
		for _, m := range c.Contacts {
			add(m, c.Cell)
		}
	}
	return out
}

// CacheOwner implements plane.Router.
func (c *Control) CacheOwner(slice keyspace.SliceID, owner plane.Peer) {
	if owner.Cell == c.cfg.Cell {
		return
	}
	if owner.Name == "" {
		c.owners.forget(slice)
		return
	}
	c.owners.set(slice, owner)
}

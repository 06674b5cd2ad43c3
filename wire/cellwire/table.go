package cellwire

import (
	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	pb "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

func tableToWire(d *cell.TableDelta) *pb.TableUpdate {
	if d == nil {
		return nil
	}
	u := &pb.TableUpdate{To: versionToWire(d.To), Full: d.Full}
	for _, m := range d.Members {
		u.Members = append(u.Members, MemberToWire(m))
	}
	for _, h := range d.Hot {
		u.Hot = append(u.Hot, &pb.HotKeySlice{Slice: sliceToWire(h.Slice), Key: h.Key})
	}
	positions := make(map[string]uint32)
	for _, r := range d.Routes {
		w := &pb.SliceRoute{Slice: sliceToWire(r.Slice), Moving: r.Moving}
		if r.Owner != "" && positions[r.Owner] == 0 {
			u.Owners = append(u.Owners, r.Owner)
			positions[r.Owner] = uint32(len(u.Owners))
		}
		w.Owner = positions[r.Owner]
		u.Routes = append(u.Routes, w)
	}
	return u
}

func tableFromWire(u *pb.TableUpdate) (*cell.TableDelta, error) {
	if u == nil {
		return nil, nil
	}
	d := &cell.TableDelta{To: versionFromWire(u.GetTo()), Full: u.GetFull()}
	for _, m := range u.GetMembers() {
		d.Members = append(d.Members, MemberFromWire(m))
	}
	for _, h := range u.GetHot() {
		d.Hot = append(d.Hot, cell.HotKey{Slice: sliceFromWire(h.GetSlice()), Key: h.GetKey()})
	}
	owners := u.GetOwners()
	for _, r := range u.GetRoutes() {
		if int(r.GetOwner()) > len(owners) {
			return nil, errors.Wrap(ErrMalformed, "route names an owner that is not listed")
		}
		route := cell.SliceRoute{Slice: sliceFromWire(r.GetSlice()), Moving: r.GetMoving()}
		if i := r.GetOwner(); i > 0 {
			route.Owner = owners[i-1]
		}
		d.Routes = append(d.Routes, route)
	}
	return d, nil
}

func cellsToWire(v *cell.CellsView) *pb.CellsUpdate {
	if v == nil {
		return nil
	}
	u := &pb.CellsUpdate{To: versionToWire(v.Version), Full: v.Full}
	for _, c := range v.Cells {
		w := &pb.OtherCell{Cell: c.Cell, Region: c.Region, SheetVersion: c.SheetVersion}
		for _, m := range c.Contacts {
			w.Contacts = append(w.Contacts, MemberToWire(m))
		}
		for _, id := range c.RangeIDs {
			w.Ranges = append(w.Ranges, uint64(id))
		}
		u.Cells = append(u.Cells, w)
	}
	return u
}

func cellsFromWire(u *pb.CellsUpdate) *cell.CellsView {
	if u == nil {
		return nil
	}
	v := &cell.CellsView{Version: versionFromWire(u.GetTo()), Full: u.GetFull()}
	for _, c := range u.GetCells() {
		o := cell.OtherCell{Cell: c.GetCell(), Region: c.GetRegion(), SheetVersion: c.GetSheetVersion()}
		for _, m := range c.GetContacts() {
			o.Contacts = append(o.Contacts, MemberFromWire(m))
		}
		for _, id := range c.GetRanges() {
			o.RangeIDs = append(o.RangeIDs, keyspace.RangeID(id))
		}
		v.Cells = append(v.Cells, o)
	}
	return v
}

// PromiseRequestToWire converts a controller's request for a promise.
func PromiseRequestToWire(cluster string, r cell.PromiseRequest) *pb.PromiseRequest {
	return &pb.PromiseRequest{
		Cluster: cluster, From: nodeToWire(r.From), Standby: nodeToWire(r.Standby),
		Epoch: r.Epoch, Number: r.Number, Resign: r.Resign,
	}
}

// PromiseRequestFromWire converts a controller's request for a promise.
func PromiseRequestFromWire(r *pb.PromiseRequest) cell.PromiseRequest {
	return cell.PromiseRequest{
		From: NodeFromWire(r.GetFrom()), Standby: NodeFromWire(r.GetStandby()),
		Epoch: r.GetEpoch(), Number: r.GetNumber(), Resign: r.GetResign(),
	}
}

// PromiseResponseToWire converts a standby's response to a request for a promise.
func PromiseResponseToWire(r cell.PromiseResponse) *pb.PromiseResponse {
	return &pb.PromiseResponse{From: nodeToWire(r.From), Epoch: r.Epoch, Number: r.Number, Promised: r.Promised}
}

// PromiseResponseFromWire converts a standby's response to a request for a promise.
func PromiseResponseFromWire(r *pb.PromiseResponse) cell.PromiseResponse {
	return cell.PromiseResponse{
		From: NodeFromWire(r.GetFrom()), Epoch: r.GetEpoch(), Number: r.GetNumber(), Promised: r.GetPromised(),
	}
}

// PokeToWire converts a request for an immediate heartbeat.
func PokeToWire(cluster, cellName string, p cell.Poke) *pb.PokeRequest {
	return &pb.PokeRequest{Cluster: cluster, Cell: cellName, Epoch: p.Epoch, Controller: MemberToWire(p.Controller)}
}

// PokeFromWire converts a request for an immediate heartbeat.
func PokeFromWire(r *pb.PokeRequest) cell.Poke {
	return cell.Poke{Epoch: r.GetEpoch(), Controller: MemberFromWire(r.GetController())}
}

// PokeResponseToWire returns the response to a poke; from is the node that received it.
func PokeResponseToWire(from cell.Node) *pb.PokeResponse {
	return &pb.PokeResponse{From: nodeToWire(from)}
}

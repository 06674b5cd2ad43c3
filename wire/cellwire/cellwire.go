// Package cellwire converts the messages of package cell to and from their protobuf form.
package cellwire

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	pb "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

// ErrMalformed reports a message that lacks a required field or holds an invalid one.
var ErrMalformed = errors.New("malformed control message")

func nodeToWire(n cell.Node) *pb.CellNode {
	return &pb.CellNode{Name: n.Name, Incarnation: n.Incarnation}
}

// NodeFromWire converts a node; nil gives the zero node, which stands for no node.
func NodeFromWire(n *pb.CellNode) cell.Node {
	return cell.Node{Name: n.GetName(), Incarnation: n.GetIncarnation()}
}

// MemberToWire converts a node with its addresses and its target.
func MemberToWire(m cell.Member) *pb.CellMember {
	return &pb.CellMember{
		Node: nodeToWire(m.Node), Address: m.Address, EntryAddress: m.EntryAddress, AdminAddress: m.AdminAddress,
		Region: m.Region, FailureDomain: m.FailureDomain, Target: targetToWire(m.Target),
	}
}

// MemberFromWire is the inverse of MemberToWire.
func MemberFromWire(m *pb.CellMember) cell.Member {
	return cell.Member{
		Node: NodeFromWire(m.GetNode()), Address: m.GetAddress(), EntryAddress: m.GetEntryAddress(), AdminAddress: m.GetAdminAddress(),
		Region: m.GetRegion(), FailureDomain: m.GetFailureDomain(), Target: targetFromWire(m.GetTarget()),
	}
}

func targetToWire(t cell.Target) *pb.CellTarget {
	return &pb.CellTarget{
		State: uint32(t.State), Incarnation: t.Incarnation, Address: t.Address, Slots: t.Slots,
		InFlight: t.InFlight, Utilization: t.Utilization, ChecksFences: t.ChecksFences,
	}
}

func targetFromWire(t *pb.CellTarget) cell.Target {
	return cell.Target{
		State: cell.TargetState(t.GetState()), Incarnation: t.GetIncarnation(), Address: t.GetAddress(),
		Slots: t.GetSlots(), InFlight: t.GetInFlight(), Utilization: t.GetUtilization(), ChecksFences: t.GetChecksFences(),
	}
}

func sliceToWire(id keyspace.SliceID) *pb.CellSlice {
	return &pb.CellSlice{Range: uint64(id.Range), Index: id.Index}
}

func sliceFromWire(s *pb.CellSlice) keyspace.SliceID {
	return keyspace.SliceID{Range: keyspace.RangeID(s.GetRange()), Index: s.GetIndex()}
}

func leaseToWire(id keyspace.SliceID, f fence.Fence, window []byte) *pb.CellLease {
	return &pb.CellLease{
		Slice: sliceToWire(id), Fence: &pb.CellFence{Epoch: f.Epoch, Seq: f.Seq},
		Window: window, HasWindow: window != nil,
	}
}

func leaseFromWire(l *pb.CellLease) (keyspace.SliceID, fence.Fence, []byte) {
	window := l.GetWindow()
	if l.GetHasWindow() && window == nil {
		window = []byte{}
	}
	f := fence.Fence{Epoch: l.GetFence().GetEpoch(), Seq: l.GetFence().GetSeq()}
	return sliceFromWire(l.GetSlice()), f, window
}

func versionToWire(v cell.TableVersion) *pb.CellVersion {
	if v == (cell.TableVersion{}) {
		return nil
	}
	return &pb.CellVersion{Epoch: v.Epoch, Number: v.Number}
}

func versionFromWire(v *pb.CellVersion) cell.TableVersion {
	return cell.TableVersion{Epoch: v.GetEpoch(), Number: v.GetNumber()}
}

// HeartbeatToWire converts a heartbeat of a node of the given cluster and cell.
func HeartbeatToWire(cluster, cellName string, h cell.Heartbeat) *pb.HeartbeatRequest {
	r := &pb.HeartbeatRequest{
		Cluster: cluster, Cell: cellName, From: MemberToWire(h.From), Number: h.Number, Epoch: h.Epoch,
		Set: h.Set, SheetVersion: h.SheetVersion, Table: versionToWire(h.Table), Cells: versionToWire(h.Cells),
		Leaving: h.Leaving,
	}
	for _, l := range h.Held {
		r.Held = append(r.Held, leaseToWire(l.Slice, l.Fence, nil))
	}
	for _, l := range h.Released {
		r.Released = append(r.Released, leaseToWire(l.Slice, l.Fence, l.Window))
	}
	for _, l := range h.Loads {
		r.Loads = append(r.Loads, &pb.CellLoad{
			Slice: sliceToWire(l.Slice), WorkMs: l.WorkMillis, Requests: l.Requests, HotKey: l.HotKey, HotShare: l.HotShare,
		})
	}
	return r
}

// HeartbeatFromWire converts a heartbeat. It fails with ErrMalformed.
func HeartbeatFromWire(r *pb.HeartbeatRequest) (cell.Heartbeat, error) {
	if r.GetFrom().GetNode().GetName() == "" {
		return cell.Heartbeat{}, errors.Wrap(ErrMalformed, "heartbeat without a sender")
	}
	h := cell.Heartbeat{
		From: MemberFromWire(r.GetFrom()), Number: r.GetNumber(), Epoch: r.GetEpoch(), Set: r.GetSet(),
		SheetVersion: r.GetSheetVersion(), Table: versionFromWire(r.GetTable()), Cells: versionFromWire(r.GetCells()),
		Leaving: r.GetLeaving(),
	}
	for _, l := range r.GetHeld() {
		id, f, _ := leaseFromWire(l)
		h.Held = append(h.Held, cell.HeldSlice{Slice: id, Fence: f})
	}
	h.Released = releasesFromWire(r.GetReleased())
	for _, l := range r.GetLoads() {
		h.Loads = append(h.Loads, cell.SliceLoad{
			Slice: sliceFromWire(l.GetSlice()), WorkMillis: l.GetWorkMs(), Requests: l.GetRequests(),
			HotKey: l.GetHotKey(), HotShare: l.GetHotShare(),
		})
	}
	return h, nil
}

func releasesFromWire(list []*pb.CellLease) []cell.Release {
	var out []cell.Release
	for _, l := range list {
		id, f, window := leaseFromWire(l)
		out = append(out, cell.Release{Slice: id, Fence: f, Window: window})
	}
	return out
}

// HeartbeatResponseToWire converts the response to a heartbeat; from is the node that sends it.
func HeartbeatResponseToWire(from cell.Node, a cell.HeartbeatResponse) (*pb.HeartbeatResponse, error) {
	r := &pb.HeartbeatResponse{
		Number: a.Number, Accepted: a.Accepted, Epoch: a.Epoch, ForUs: uint64(a.LeaseDuration.Microseconds()),
		Set: a.Set, Full: a.Full, Needs: versionToWire(a.MinTableVersion), Left: a.MayStop, Unknown: a.NeedsAddresses,
	}
	if !a.Accepted {
		r.Controller = MemberToWire(a.Controller)
		r.From = nodeToWire(from)
		return r, nil
	}
	for _, g := range a.Grants {
		r.Grants = append(r.Grants, leaseToWire(g.Slice, g.Fence, g.Window))
	}
	for _, id := range a.Drain {
		r.Drain = append(r.Drain, sliceToWire(id))
	}
	for _, t := range a.ProcessedReleases {
		r.Taken = append(r.Taken, leaseToWire(t.Slice, t.Fence, nil))
	}
	if a.Sheet != nil {
		data, err := json.Marshal(a.Sheet)
		if err != nil {
			return nil, errors.Wrap(err, "encode sheet")
		}
		r.Sheet = data
	}
	r.Table = tableToWire(a.Table)
	r.Cells = cellsToWire(a.Cells)
	return r, nil
}

// HeartbeatResponseFromWire converts the response to a heartbeat. It fails with ErrMalformed.
func HeartbeatResponseFromWire(r *pb.HeartbeatResponse) (cell.HeartbeatResponse, error) {
	a := cell.HeartbeatResponse{
		Number: r.GetNumber(), Accepted: r.GetAccepted(), Epoch: r.GetEpoch(), Controller: MemberFromWire(r.GetController()),
		LeaseDuration: time.Duration(r.GetForUs()) * time.Microsecond, Set: r.GetSet(), Full: r.GetFull(),
		MinTableVersion: versionFromWire(r.GetNeeds()), MayStop: r.GetLeft(), NeedsAddresses: r.GetUnknown(),
	}
	for _, g := range r.GetGrants() {
		id, f, window := leaseFromWire(g)
		a.Grants = append(a.Grants, cell.Grant{Slice: id, Fence: f, Window: window})
	}
	for _, s := range r.GetDrain() {
		a.Drain = append(a.Drain, sliceFromWire(s))
	}
	a.ProcessedReleases = releasesFromWire(r.GetTaken())
	if len(r.GetSheet()) > 0 {
		a.Sheet = new(keyspace.Layout)
		if err := json.Unmarshal(r.GetSheet(), a.Sheet); err != nil {
			return cell.HeartbeatResponse{}, errors.Wrapf(ErrMalformed, "sheet: %v", err)
		}
	}
	table, err := tableFromWire(r.GetTable())
	a.Table = table
	a.Cells = cellsFromWire(r.GetCells())
	return a, err
}

package control

import (
	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

func nodeOf(p plane.Peer) cell.Node { return cell.Node{Name: p.Name, Incarnation: p.Incarnation} }

func memberOf(p plane.Peer) cell.Member {
	return cell.Member{
		Node: nodeOf(p), Address: p.Address, EntryAddress: p.EntryAddress, AdminAddress: p.AdminAddress,
		Region: p.Region, FailureDomain: p.FailureDomain, Target: targetOf(p.Target),
	}
}

func peerOf(m cell.Member, cellName string) plane.Peer {
	return plane.Peer{
		Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, EntryAddress: m.EntryAddress, AdminAddress: m.AdminAddress,
		Region: m.Region, FailureDomain: m.FailureDomain, Cell: cellName, Target: reportOf(m.Target),
	}
}

func targetOf(t plane.TargetReport) cell.Target {
	return cell.Target{
		State: cell.TargetState(t.State), Incarnation: t.Incarnation, Address: t.Address, Slots: t.Slots,
		InFlight: t.InFlight, Utilization: t.Utilization, ChecksFences: t.ChecksFences,
	}
}

func reportOf(t cell.Target) plane.TargetReport {
	return plane.TargetReport{
		State: plane.TargetState(t.State), Incarnation: t.Incarnation, Address: t.Address, Slots: t.Slots,
		InFlight: t.InFlight, Utilization: t.Utilization, ChecksFences: t.ChecksFences,
	}
}

func loadsOf(loads []plane.SliceLoad) []cell.SliceLoad {
	out := make([]cell.SliceLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, cell.SliceLoad(l))
	}
	return out
}

// serviceOf returns the service of a range; empty if the layout does not contain the range.
func serviceOf(layout *keyspace.Layout, id keyspace.RangeID) string {
	if layout == nil {
		return ""
	}
	for _, s := range layout.Services {
		for _, r := range s.Ranges {
			if r.ID() == id {
				return s.Name
			}
		}
	}
	return ""
}

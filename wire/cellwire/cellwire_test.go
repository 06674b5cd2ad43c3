package cellwire

import (
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	pb "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

var (
	slice  = keyspace.SliceID{Range: 1 << 63, Index: 7}
	member = cell.Member{
		Node: cell.Node{Name: "vm-a", Incarnation: 1 << 62}, Address: "10.0.0.1:7000", EntryAddress: "10.0.0.1:8000",
		Region: "alfold", FailureDomain: "szeged",
		Target: cell.Target{State: cell.TargetReady, Incarnation: 9, Address: "10.0.0.1:9000", Slots: 6, InFlight: 2, Utilization: 300, ChecksFences: true},
	}
)

func TestHeartbeatRoundTrip(t *testing.T) {
	want := cell.Heartbeat{
		From: member, Number: 5, Epoch: 3, Set: 2, SheetVersion: 11,
		Table: cell.TableVersion{Epoch: 3, Number: 8}, Cells: cell.TableVersion{Epoch: 3, Number: 1},
		Held:     []cell.HeldSlice{{Slice: slice, Fence: fence.Fence{Epoch: 2, Seq: 4}}},
		Released: []cell.Release{{Slice: slice, Fence: fence.Fence{Epoch: 2, Seq: 5}, Window: []byte{1}}, {Slice: slice, Window: []byte{}}, {Slice: slice}},
		Loads:    []cell.SliceLoad{{Slice: slice, WorkMillis: 1, Requests: 2, HotKey: "k", HotShare: 3}},
		Leaving:  true,
	}
	data, err := proto.Marshal(HeartbeatToWire("c", "alfold", want))
	if err != nil {
		t.Fatal(err)
	}
	var w pb.HeartbeatRequest
	if err := proto.Unmarshal(data, &w); err != nil {
		t.Fatal(err)
	}
	got, err := HeartbeatFromWire(&w)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v\nwant %+v", got, err, want)
	}
}

func TestAnswerRoundTrip(t *testing.T) {
	layout := keyspace.Layout{Version: 4, Services: []keyspace.Service{{Name: "booking", Kind: keyspace.Keyed, Ranges: []keyspace.Range{{Service: "booking", Kind: keyspace.Keyed, Slices: 3}}}}}
	answers := map[string]cell.HeartbeatResponse{
		"accepted": {
			Number: 5, Accepted: true, Epoch: 3, LeaseDuration: 1500 * time.Millisecond, Set: 2, Full: true,
			Grants:          []cell.Grant{{Slice: slice, Fence: fence.Fence{Epoch: 3, Seq: 4}, Window: []byte{2}}, {Slice: slice}},
			MinTableVersion: cell.TableVersion{Epoch: 3, Number: 1}, Drain: []keyspace.SliceID{slice},
			ProcessedReleases: []cell.Release{{Slice: slice, Fence: fence.Fence{Epoch: 2, Seq: 5}}}, Sheet: &layout,
			Table: &cell.TableDelta{
				To: cell.TableVersion{Epoch: 3, Number: 8}, Full: true, Members: []cell.Member{member},
				Hot:    []cell.HotKey{{Slice: slice, Key: "k"}},
				Routes: []cell.SliceRoute{{Slice: slice, Owner: "vm-a", Moving: true}, {Slice: slice}, {Slice: slice, Owner: "vm-a"}},
			},
			Cells: &cell.CellsView{
				Version: cell.TableVersion{Epoch: 3, Number: 2}, Full: true,
				Cells: []cell.OtherCell{{Cell: "dunantul", Region: "dunantul", SheetVersion: 4, Contacts: []cell.Member{member}, RangeIDs: []keyspace.RangeID{1 << 63}}},
			},
			MayStop: true,
		},
		"refused": {Number: 5, Epoch: 3, Controller: member, NeedsAddresses: true},
	}
	for name, want := range answers {
		w, err := HeartbeatResponseToWire(member.Node, want)
		if err != nil {
			t.Fatal(err)
		}
		data, err := proto.Marshal(w)
		if err != nil {
			t.Fatal(err)
		}
		var back pb.HeartbeatResponse
		if err := proto.Unmarshal(data, &back); err != nil {
			t.Fatal(err)
		}
		got, err := HeartbeatResponseFromWire(&back)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, %v\nwant %+v", name, got, err, want)
		}
	}
}

func TestMalformed(t *testing.T) {
	if _, err := HeartbeatFromWire(&pb.HeartbeatRequest{}); !errors.Is(err, ErrMalformed) {
		t.Errorf("heartbeat without a sender: %v", err)
	}
	bad := map[string]*pb.HeartbeatResponse{
		"sheet":          {Sheet: []byte("{")},
		"unlisted owner": {Table: &pb.TableUpdate{Routes: []*pb.SliceRoute{{Owner: 2}}, Owners: []string{"a"}}},
	}
	for name, w := range bad {
		if _, err := HeartbeatResponseFromWire(w); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestPromiseAndPokeRoundTrip(t *testing.T) {
	request := cell.PromiseRequest{From: cell.Node{Name: "a", Incarnation: 1}, Standby: cell.Node{Name: "b", Incarnation: 2}, Epoch: 3, Number: 4, Resign: true}
	if got := PromiseRequestFromWire(PromiseRequestToWire("c", request)); got != request {
		t.Errorf("request: %+v", got)
	}
	answer := cell.PromiseResponse{From: cell.Node{Name: "b", Incarnation: 2}, Epoch: 3, Number: 4, Promised: true}
	if got := PromiseResponseFromWire(PromiseResponseToWire(answer)); got != answer {
		t.Errorf("answer: %+v", got)
	}
	poke := cell.Poke{Epoch: 3, Controller: member}
	if got := PokeFromWire(PokeToWire("c", "alfold", poke)); got != poke {
		t.Errorf("poke: %+v", got)
	}
}

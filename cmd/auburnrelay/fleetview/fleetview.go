// Package fleetview reads from the store and the nodes what operators ask about the whole
// fleet: cells, members, planned stops and the state of each node.
package fleetview

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/stop"
	"github.com/auburnrelay/auburnrelay/objects"
)

const (
	// cellsPrefix starts the keys of the cells' records.
	cellsPrefix = "cells/"
	// askedAtOnce bounds the nodes that are asked at one time.
	askedAtOnce = 32
)

// ErrStatus reports a node that gave no status.
var ErrStatus = errors.New("no status from the node")

// Cells returns the records of all cells in the order of their names.
func Cells(ctx context.Context, store objects.Store) ([]*cell.Record, error) {
	listing, err := store.List(ctx, cellsPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list the cells")
	}
	records := make([]*cell.Record, 0, len(listing.Objects))
	for _, object := range listing.Objects {
		record, err := cell.DecodeRecord(object.Value)
		if err != nil {
			return nil, errors.Wrap(err, object.Key)
		}
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b *cell.Record) int { return strings.Compare(a.Cell, b.Cell) })
	return records, nil
}

// Members returns the nodes that the records list.
func Members(records []*cell.Record) []stop.Member {
	var members []stop.Member
	for _, record := range records {
		for _, n := range record.Nodes {
			members = append(members, stop.Member{
				Name: n.Name, Incarnation: n.Incarnation, TargetProcess: n.Target.Incarnation, Region: n.Region,
				FailureDomain: n.FailureDomain, Cell: record.Cell, Ready: n.Target.State == cell.TargetReady,
			})
		}
	}
	return members
}

// StoredStop is a planned stop with its version in the store.
type StoredStop struct {
	stop.Stop
	Version objects.Version
}

// Stops returns the planned stops and the progress of all cells.
func Stops(ctx context.Context, store objects.Store) ([]StoredStop, []stop.Progress, error) {
	listing, err := store.List(ctx, stop.KeyPrefix)
	if err != nil {
		return nil, nil, errors.Wrap(err, "list the planned stops")
	}
	var stops []StoredStop
	for _, object := range listing.Objects {
		s, err := stop.Decode(object.Value)
		if err != nil {
			return nil, nil, errors.Wrap(err, object.Key)
		}
		stops = append(stops, StoredStop{Stop: s, Version: object.Version})
	}
	progress, err := progressOf(ctx, store)
	return stops, progress, err
}

func progressOf(ctx context.Context, store objects.Store) ([]stop.Progress, error) {
	listing, err := store.List(ctx, stop.ProgressPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list the progress of stops")
	}
	var all []stop.Progress
	for _, object := range listing.Objects {
		p, err := stop.DecodeProgress(object.Value)
		if err != nil {
			return nil, errors.Wrap(err, object.Key)
		}
		all = append(all, p)
	}
	return all, nil
}

// NodeStatus is the part of a node's own status that operators see.
type NodeStatus struct {
	Node          string `json:"node"`
	Cell          string `json:"cell"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	SheetVersion  int64  `json:"sheet_version"`
	Epoch         uint64 `json:"epoch"`
	IsController  bool   `json:"is_controller"`
	HasAuthority  bool   `json:"has_authority"`
	StoreHealthy  bool   `json:"store_healthy"`
	Leases        int    `json:"leases"`
	Moving        int    `json:"moving"`
	// Held is the number of callers' requests that wait for an owner.
	Held int64 `json:"held"`
	// Error says why the node gave no status; empty if it did.
	Error string `json:"error,omitempty"`
}

// Ask returns the status of every node of the records, in their order.
func Ask(ctx context.Context, client *http.Client, records []*cell.Record) []NodeStatus {
	var nodes []cell.Member
	var statuses []NodeStatus
	for _, record := range records {
		for _, n := range record.Nodes {
			nodes = append(nodes, n)
			statuses = append(statuses, NodeStatus{Node: n.Name, Cell: record.Cell, Incarnation: n.Incarnation})
		}
	}
	slots := make(chan struct{}, askedAtOnce)
	var work sync.WaitGroup
	for i := range nodes {
		work.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if err := askOne(ctx, client, nodes[i].AdminAddress, &statuses[i]); err != nil {
				statuses[i].Error = err.Error()
			}
			statuses[i].FailureDomain = nodes[i].FailureDomain
		})
	}
	work.Wait()
	return statuses
}

func askOne(ctx context.Context, client *http.Client, address string, into *NodeStatus) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return errors.Wrap(ErrStatus, "no admin address")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(ErrStatus, "not reached")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrStatus, "status %d", response.StatusCode)
	}
	got := NodeStatus{}
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		return errors.Wrap(ErrStatus, "not understood")
	}
	if got.Node != into.Node {
		return errors.Wrapf(ErrStatus, "node %q answers at its address", got.Node)
	}
	*into = got
	return nil
}

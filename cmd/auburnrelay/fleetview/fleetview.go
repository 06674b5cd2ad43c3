// Package fleetview reads the state of the whole fleet from the store and the nodes: cells,
// members, planned stops and the status of each node.
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
	// cellsPrefix is the prefix of the keys of cell records.
	cellsPrefix = "cells/"
	// maxConcurrentRequests limits the concurrent status requests to nodes.
	maxConcurrentRequests = 32
)

// ErrStatus reports that a node did not return its status.
var ErrStatus = errors.New("no status from the node")

// Cells returns the records of all cells, sorted by name.
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

// Members returns the nodes listed in the records.
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

// Stops returns the planned stops and the progress that each cell reports on them.
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
	progress, err := readProgress(ctx, store)
	return stops, progress, err
}

func readProgress(ctx context.Context, store objects.Store) ([]stop.Progress, error) {
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

// NodeStatus is the part of a node's status that is shown to operators.
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
	// Held is the number of callers' requests waiting for an owner.
	Held int64 `json:"held"`
	// Error is the reason why the node did not return its status; empty if it did.
	Error string `json:"error,omitempty"`
}

// NodeStatuses requests the status of every node in the records and returns the answers in the
// order of the records. A node that fails to answer is returned with Error set.
func NodeStatuses(ctx context.Context, client *http.Client, records []*cell.Record) []NodeStatus {
	var nodes []cell.Member
	var statuses []NodeStatus
	for _, record := range records {
		for _, n := range record.Nodes {
			nodes = append(nodes, n)
			statuses = append(statuses, NodeStatus{Node: n.Name, Cell: record.Cell, Incarnation: n.Incarnation})
		}
	}
	slots := make(chan struct{}, maxConcurrentRequests)
	var requests sync.WaitGroup
	for i := range nodes {
		requests.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if err := fetchStatus(ctx, client, nodes[i].AdminAddress, &statuses[i]); err != nil {
				statuses[i].Error = err.Error()
			}
			statuses[i].FailureDomain = nodes[i].FailureDomain
		})
	}
	requests.Wait()
	return statuses
}

// fetchStatus requests the status of the node named in status and replaces status by the answer.
func fetchStatus(ctx context.Context, client *http.Client, address string, status *NodeStatus) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return errors.Wrapf(ErrStatus, "malformed admin address %q", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrapf(ErrStatus, "admin address %q not reached", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrStatus, "HTTP status %d", response.StatusCode)
	}
	got := NodeStatus{}
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		return errors.Wrap(ErrStatus, "malformed answer")
	}
	if got.Node != status.Node {
		return errors.Wrapf(ErrStatus, "node %q answers at its address", got.Node)
	}
	*status = got
	return nil
}

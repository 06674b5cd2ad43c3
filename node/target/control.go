package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// maxControlBytes bounds the target's answers to probes, grants and cancellations.
const maxControlBytes = 1 << 20

// ErrNoTarget reports that no target is registered with the node.
var ErrNoTarget = errors.New("no target is registered")

// errGrantStatus reports an unexpected HTTP status in answer to grants.
var errGrantStatus = errors.New("unexpected HTTP status in answer to grants")

// Grant allows the target to run requests of one slice under a fence.
type Grant struct {
	Slice keyspace.SliceID
	Fence fence.Fence
	// Until is the grant's expiry on the boot-time clock, which node and target share.
	Until time.Duration
}

type grantJSON struct {
	Slice       string `json:"slice"`
	Fence       string `json:"fence"`
	UntilBootMS int64  `json:"until_boot_ms"`
}

type grantsJSON struct {
	Grants []grantJSON `json:"grants"`
	Revoke []string    `json:"revoke"`
}

type refusedJSON struct {
	Refused []string `json:"refused"`
}

// PutGrants issues, renews and revokes grants. It returns the slices, as text, whose grants
// the target refused because it has seen a higher fence. It fails with ErrNoTarget while no
// target is registered.
func (l *Link) PutGrants(ctx context.Context, grants []Grant, revoke []keyspace.SliceID) ([]string, error) {
	address := l.Info().Address
	if address == "" {
		return nil, ErrNoTarget
	}
	body, err := json.Marshal(encodeGrants(grants, revoke))
	if err != nil {
		return nil, errors.Wrap(err, "encode grants for the target")
	}
	var refused refusedJSON
	err = l.controlCall(ctx, http.MethodPut, "http://"+address+"/v1/grants", body, func(resp *http.Response) error {
		switch resp.StatusCode {
		case http.StatusOK:
			return nil
		case http.StatusConflict:
			return json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(&refused)
		default:
			return errors.Wrapf(errGrantStatus, "status %d", resp.StatusCode)
		}
	})
	return refused.Refused, err
}

func encodeGrants(grants []Grant, revoke []keyspace.SliceID) grantsJSON {
	out := grantsJSON{Grants: make([]grantJSON, 0, len(grants)), Revoke: make([]string, 0, len(revoke))}
	for _, g := range grants {
		out.Grants = append(out.Grants, grantJSON{
			Slice: g.Slice.String(), Fence: g.Fence.String(), UntilBootMS: g.Until.Milliseconds(),
		})
	}
	for _, slice := range revoke {
		out.Revoke = append(out.Revoke, slice.String())
	}
	return out
}

// CallState is the state of a call as stated by the target.
type CallState uint8

const (
	// CallUnknown means that the target does not know the state, or did not answer.
	CallUnknown CallState = iota
	// CallCancelled means that the call did not start and never will.
	CallCancelled
	// CallFinished means that the call ran and has ended.
	CallFinished
)

// Cancel asks the target to cancel a call and returns the call's state.
func (l *Link) Cancel(ctx context.Context, id string, attempt uint64) CallState {
	address := l.Info().Address
	if address == "" {
		return CallUnknown
	}
	return l.cancelAt(ctx, address, id, attempt)
}

func (l *Link) cancelAt(ctx context.Context, address, id string, attempt uint64) CallState {
	url := "http://" + address + "/v1/running/" + id + "/" + strconv.FormatUint(attempt, 10)
	var state struct {
		State string `json:"state"`
	}
	err := l.controlCall(ctx, http.MethodDelete, url, nil, func(resp *http.Response) error {
		return json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(&state)
	})
	if err != nil {
		return CallUnknown
	}
	switch state.State {
	case "cancelled":
		return CallCancelled
	case "finished":
		return CallFinished
	default:
		return CallUnknown
	}
}

// controlCall sends one control request and calls read with the answer.
func (l *Link) controlCall(ctx context.Context, method, url string, body []byte, read func(*http.Response) error) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request to the target")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := l.control.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "control request to the target")
	}
	defer response.Body.Close()
	if err := checkHead(response); err != nil {
		return errors.Wrap(err, "control request to the target")
	}
	return read(response)
}

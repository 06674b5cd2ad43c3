// Package peercall makes JSON calls over HTTP from one node to another, over the same connection pool
// as forwarded requests.
package peercall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	gopath "path"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/objects/transfer"
)

// maxMessageBytes bounds a message in bytes. The largest messages are pages of store objects, whose
// values are encoded in base64.
const maxMessageBytes = 8 << 20

// ErrNoAnswer reports a call without a valid response: it may have taken effect, unless the error is
// also marked h1.ErrNotSent.
var ErrNoAnswer = errors.New("no valid response from the peer node")

// Do sends the message to the path at the node's address and decodes the response into answer. The
// deadline of ctx bounds only the wait for the response (see package transfer).
// The last part of the path is the purpose of the call in the counters of bytes.
// Every error of the call is marked ErrNoAnswer and, if the call was not sent, h1.ErrNotSent as well;
// an error in encoding the message is marked h1.ErrNotSent only.
func Do(ctx context.Context, pool *h1.Pool, address, path string, message, answer any) error {
	payload, err := json.Marshal(message)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode the message of a peer call"), h1.ErrNotSent)
	}
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: path}, Host: address, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: io.NopCloser(bytes.NewReader(payload)),
		ContentLength: int64(len(payload)),
	}
	call := transfer.NewCall(ctx)
	defer call.Close()
	response, err := pool.Do(call, h1.Call{Address: address, Request: request, Purpose: gopath.Base(path)})
	if err != nil {
		return errors.Mark(err, ErrNoAnswer)
	}
	defer response.Body.Close()
	payload, err = call.ReadAll(response.Body, maxMessageBytes)
	if err == nil {
		err = json.Unmarshal(payload, answer)
	}
	if err != nil || response.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrNoAnswer, "peer node %s: status %d: %v", address, response.StatusCode, err)
	}
	return nil
}

// Read decodes the message of a call. If the message is malformed, it responds with status 400 and
// returns false.
func Read(w http.ResponseWriter, r *http.Request, message any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(message); err != nil {
		http.Error(w, "malformed call", http.StatusBadRequest)
		return false
	}
	return true
}

// Answer writes the response of a call.
func Answer(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// If the write fails, the calling node no longer waits; it may call again.
	_ = json.NewEncoder(w).Encode(answer)
}

// Package peercall makes small calls in JSON from one node to another, over the connections that
// requests use.
package peercall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/h1"
)

// maxMessageBytes bounds a message: a page of the store in base64.
const maxMessageBytes = 8 << 20

// ErrNoAnswer reports a call that was sent and not answered: it may have taken effect. Errors
// marked h1.ErrNotSent report calls that did not leave.
var ErrNoAnswer = errors.New("no answer from the node")

// Do calls the path at the node with the message and reads its answer.
func Do(ctx context.Context, pool *h1.Pool, address, path string, message, answer any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode a call"), h1.ErrNotSent)
	}
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: path}, Host: address, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: io.NopCloser(bytes.NewReader(text)),
		ContentLength: int64(len(text)),
	}
	response, err := pool.Do(ctx, h1.Call{Address: address, Request: request})
	if err != nil {
		return errors.Mark(err, ErrNoAnswer)
	}
	defer response.Body.Close()
	text, err = io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err == nil {
		err = json.Unmarshal(text, answer)
	}
	if err != nil || response.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrNoAnswer, "node %s: status %d: %v", address, response.StatusCode, err)
	}
	return nil
}

// Read reads the message of a call; it answers a malformed one itself and returns false.
func Read(w http.ResponseWriter, r *http.Request, message any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(message); err != nil {
		http.Error(w, "malformed call", http.StatusBadRequest)
		return false
	}
	return true
}

// Answer writes the answer of a call.
func Answer(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write is a node that no longer waits; it asks again.
	_ = json.NewEncoder(w).Encode(answer)
}

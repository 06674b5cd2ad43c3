// Package client is the callers' library: it sends a request to the owner of its key and
// returns the outcome as a value.
package client

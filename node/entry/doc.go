// Package entry is the HTTP interface of a node for callers. It reads a request, looks up the owner
// of its key, serves the request locally or forwards it, and reports exactly one outcome.
//
// A request that has provably not run is retried within its deadline and the retry budget. A
// request that may have run is never retried, whatever its method: a request that crashes targets
// must not be sent to the next one.
//
// Locking: the package has no locks of its own; the plane.Router guards the route tables.
package entry

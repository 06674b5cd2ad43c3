// Package entry is the callers' interface of a node: it reads a request, finds the owner of
// its key, serves it locally or forwards it, and ends it with exactly one outcome.
//
// A request that is proved not to have run is tried again while its deadline and the retry
// budget allow it. A request that may have run never is, whatever its method: one that crashes
// targets must not be carried on to the next.
//
// Locks: none of its own; the tables it reads belong to the control side.
package entry

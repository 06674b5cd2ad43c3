// Package control is the control side of a node. It runs the cell's state machine (package
// core/cell) and executes its effects: it sends heartbeats and requests for promises over gRPC,
// reads and writes the cell's record in the object store, passes leases to the request side and
// answers its route lookups.
//
// A single goroutine, the loop in Run, owns the state machine. RPC handlers and completed calls
// send it events over a channel. Locate reads an immutable view, which the loop replaces
// atomically.
//
// Locking: the locks of this package are never nested, and no RPC or store call is made while one
// is held.
//
// The node's gRPC listener must stay open until Run has returned: other nodes take a refused
// connection as proof that this process has exited and holds no lease.
package control

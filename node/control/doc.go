// Package control carries the effects of the cell's state machine (package core/cell): it
// sends heartbeats and promises over gRPC, reads and writes the cell's record, hands leases
// to the request side and answers its questions for routes.
//
// One goroutine, the loop in Run, owns the machine. RPC handlers and finished calls hand it
// events over a channel. The view that Locate reads is replaced as a whole.
//
// Lock order: none of learned.mu, peers.mu and Control.statusMu is held while another is
// taken, and no call is made under any of them.
//
// The node's gRPC listener must stay open until Run has returned: other nodes take a
// refused connection as proof that this process has ended and holds no lease.
package control

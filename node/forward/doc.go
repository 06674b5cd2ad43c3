// Package forward carries requests between nodes over gRPC.
//
// A request is sent whole before the owner starts it: an owner that has not seen the end of
// the body never calls its target, so a stream that breaks earlier ends as not run. A node
// that is not the owner answers with a redirect, and a request that was redirected once is
// never redirected again.
//
// Locks: Pool.mu guards the table of connections only; no call is made under it.
package forward

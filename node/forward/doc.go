// Package forward forwards requests between nodes over gRPC.
//
// The owner starts a request only after it has received the complete body. If the stream breaks
// before that, the request has not run. A node that is not the owner answers with a redirect; a
// request is redirected at most once.
//
// Locking: Pool.mu guards only the map of connections; no call is made while it is held.
package forward

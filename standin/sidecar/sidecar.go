// Package sidecar contains the integration tests of the sidecar daemon. They run several daemons in
// one process against the stand-in store, with minimal targets that implement the platform's
// published protocol.
package sidecar

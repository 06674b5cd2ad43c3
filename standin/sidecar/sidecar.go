// Package sidecar holds the tests of the daemon beside a target: several daemons in one process,
// over the stand-in store, with small targets that speak the platform's published protocol.
package sidecar

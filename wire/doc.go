// Package wire is the root of the module with the protocol messages between Auburnrelay's processes.
package wire

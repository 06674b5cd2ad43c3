// Package wire is the root of the generated protocol between the system's processes.
package wire

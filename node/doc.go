// Package node is the daemon that runs beside each target, as a library.
package node

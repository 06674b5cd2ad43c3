// Package node builds and runs the node daemon that stands beside each target.
package node

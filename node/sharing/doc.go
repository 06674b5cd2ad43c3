// Package sharing spreads what one node learned of requests that crash targets over its cell.
//
// The store's object quarantine/CELL is what a node that starts reads. A node whose target
// crashed folds the change into it by a conditional write and sends the result to every node
// of the cell. While the store cannot be reached the nodes are told all the same, and the
// write is made up for later.
//
// Locks: Sharer.mu guards the changes that wait and is held for one append or swap.
package sharing

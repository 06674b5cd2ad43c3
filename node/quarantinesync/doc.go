// Package quarantinesync distributes the quarantine entries of one node, which identify requests
// suspected of crashing targets, to all nodes of its cell.
//
// The object quarantine/CELL in the store holds the entries of the cell; a node reads it when it
// starts. A node whose target crashed applies the change to the object by a conditional write and
// sends the result to every node of the cell. While the store is unreachable, the node still sends
// its entries to the other nodes, and retries the write later.
//
// Locks: Distributor.mu guards the pending changes and is held for one append or swap.
package quarantinesync

// Package cell is the state machine of one node's part in its cell: holder of leases,
// controller, or standby controller.
//
// A Machine is fed events with the boot-time clock's reading and returns effects; it does
// no I/O, starts no goroutine and reads no clock, so that a test can play any interleaving
// of several machines and a store. It is not safe for concurrent use: its carrier calls
// Step from one goroutine and takes no lock while it does.
//
// Safety rests on these rules:
//
//   - An assignment counts only after a conditional write of the cell's record.
//   - A node dates leases from before it sent the heartbeat that they answer, the
//     controller from when it answered; a standby's promises work the same way.
//   - The controller grants only while a standby's promise, or in a cell without a standby
//     its last write of the record, is fresh.
//   - A write whose result is unknown stays possible until the record's version moved.
//   - A new controller grants a slice at once only to the node that reports holding it.
package cell

// Package cell implements the coordination protocol of one cell as a deterministic state
// machine. Every node runs a Machine; it holds leases on slices and may also be the cell's
// controller or its standby controller.
//
// A Machine takes events together with the boot-time clock's reading and returns effects. It
// does no I/O, starts no goroutine and reads no clock, so a test can run any interleaving of
// several machines and a store. It is not safe for concurrent use: its driver (package
// node/control) calls Step from one goroutine and holds no lock during the call.
//
// Terms:
//
//   - The record is the cell's durable state in the store: controller, standby, nodes and the
//     owner of each slice. It is changed only by conditional writes on its version.
//   - The sheet is the accepted layout of services, ranges and targets that operators publish.
//   - A promise is the standby's commitment not to take over for a while. It gives the
//     controller its authority: the time until which it may grant leases and decide.
//   - The quiet time is the recovery period at the start of an epoch. Until it ends, the new
//     controller renews only leases that nodes report, because others may still be held.
//   - A poke is a request for an immediate heartbeat.
//   - A write is in doubt while its result is unknown and it may still take effect.
//   - The window of a slice holds the ids of recent requests and their outcomes. It is handed to
//     the next owner so that retried requests are still recognized.
//   - The request side is the part of the node that serves requests under the leases.
//
// Safety depends on these rules:
//
//   - An assignment is valid only after a conditional write of the cell's record.
//   - A node counts a lease from before it sent the heartbeat that the grant answers; the
//     controller counts it from when it answered. Promises are counted the same way.
//   - The controller grants only while it has authority: for a limited time after it asked for
//     the standby's last promise or, in a cell without a standby, after it sent its last
//     successful write of the record.
//   - A write whose result is unknown may take effect until the record's version has changed.
//   - During the quiet time a new controller grants a slice only to the node that reports
//     holding it.
package cell

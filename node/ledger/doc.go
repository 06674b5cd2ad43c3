// Package ledger runs the accounting protocol on a node. It counts the outcomes of callers'
// requests, sends them to the controller of the node's cell as numbered reports and, on the
// controller, writes the reports to the store as segments. The protocol's logic is in package
// account.
//
// Locks: each shard of the counter has its own mutex; the reporter and the collector have
// one each. None is held while another is taken, nor during a call of the store or a peer.
// The one exception is segmentWriter.writeMu, which serializes the writes of segments: it is
// taken first and held during calls of the store.
package ledger

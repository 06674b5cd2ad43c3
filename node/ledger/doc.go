// Package ledger carries the account out on a node: it counts the outcomes of callers'
// requests, hands them to the controller of the node's cell as numbered reports and, on
// the controller, writes them into the store as segments. Package account decides.
//
// Locks: each shard of the counter has its own mutex; the reporter and the collector have
// one each. None is held while another is taken, nor over a call of the store or a peer.
package ledger

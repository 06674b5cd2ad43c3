// Package client is the callers' library: it sends a request to the owner of its key and
// returns the outcome as a value.
//
// A client learns the owner of a key from answers and sends the key's next request to it
// directly. It mints time-ordered request ids. A request whose outcome is Unknown may be
// sent again with the same id: the owner answers from memory or refuses, and never runs it
// twice.
//
//	c, err := client.New(client.Config{Entries: []string{"http://10.0.0.7:7001"}})
//	answer, err := c.Do(ctx, client.Request{Method: "POST", Service: "booking", Key: "bay-7"})
//	switch answer.Outcome {
//	case client.Answered: // read answer.Body to its end; it fails if the answer is cut
//	case client.NotRun: // nothing happened; try again after answer.RetryAfter
//	case client.Unknown: // it may have run; ask with the same id
//	}
//
// Locks: the owner table has a lock of its own, held for one lookup.
package client

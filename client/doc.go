// Package client is the client library of Auburnrelay. It sends a request to the node that owns its
// key and returns the outcome as a value.
//
// A client learns the owner of a key from responses and sends the following requests for the key
// directly to it. Request ids are generated and ordered by time. A request with outcome Unknown may
// be sent again with the same id: the owner returns the stored answer or refuses the request, and
// never runs it twice.
//
//	c, err := client.New(client.Config{Entries: []string{"http://10.0.0.7:7001"}})
//	answer, err := c.Do(ctx, client.Request{Method: "POST", Service: "booking", Key: "bay-7"})
//	switch answer.Outcome {
//	case client.Answered: // read answer.Body to its end; reading a truncated answer fails
//	case client.NotRun: // the request did not run; retry after answer.RetryAfter
//	case client.Unknown: // the request may have run; send it again with the same id
//	}
//
// Lock: the owner cache has its own lock, which is held for one lookup or update.
package client

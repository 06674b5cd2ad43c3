package client

import (
	"context"

	"github.com/auburnrelay/auburnrelay/objects"
)

// Watch delivers the objects below prefix and then their changes until the context ends, and returns
// the context's error. The first batch, and each one after a gap in the history, has Reset set and
// holds the complete state. Delivered versions only increase: a failed poll is repeated from the
// last version seen, and responses of a replica that lags behind that version are dropped.
func (c *Client) Watch(ctx context.Context, prefix string, deliver func(objects.Batch)) error {
	after, err := c.deliverSnapshot(ctx, prefix, deliver)
	retry := c.newRetryState()
	for err == nil {
		batch, pollErr := c.Poll(ctx, prefix, after)
		fresh, ok := eventsAfter(batch, after)
		if pollErr != nil || !ok {
			err = retry.pause(ctx)
			continue
		}
		retry = c.newRetryState()
		after = fresh.Next
		if fresh.Reset || len(fresh.Events) > 0 {
			deliver(fresh)
		}
	}
	return err
}

// deliverSnapshot lists the objects, retrying until that succeeds, and delivers them.
func (c *Client) deliverSnapshot(
	ctx context.Context, prefix string, deliver func(objects.Batch),
) (objects.Version, error) {
	retry := c.newRetryState()
	for {
		listing, err := c.List(ctx, prefix)
		if err == nil {
			deliver(snapshotOf(listing))
			return listing.Version, nil
		}
		if err := retry.pause(ctx); err != nil {
			return 0, err
		}
	}
}

func snapshotOf(listing objects.Listing) objects.Batch {
	batch := objects.Batch{Next: listing.Version, Reset: true}
	for _, object := range listing.Objects {
		batch.Events = append(batch.Events, objects.Event{Object: object})
	}
	return batch
}

// eventsAfter returns the events of the batch after the version. It returns false if the batch ends
// before the version.
func eventsAfter(batch objects.Batch, after objects.Version) (objects.Batch, bool) {
	if batch.Next < after {
		return objects.Batch{}, false
	}
	if batch.Reset {
		return batch, true
	}
	fresh := objects.Batch{Next: batch.Next}
	for _, event := range batch.Events {
		if event.Object.Version > after {
			fresh.Events = append(fresh.Events, event)
		}
	}
	return fresh, true
}

package feed

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/transfer"
)

const (
	// readTimeout bounds one read of the store until its response begins.
	readTimeout = 1100 * time.Millisecond
	// firstRetryPause and maxRetryPause bound the pause after a failed read of the store. The first is
	// short, since the store may drop polls while it answers other calls.
	firstRetryPause = 40 * time.Millisecond
	maxRetryPause   = 400 * time.Millisecond
)

// errBehind reports a response of the store that is older than the known state.
var errBehind = errors.New("response of the store is older than the known state")

// readLoop reads the objects below a prefix from the store while this node has no source.
func (f *Feed) readLoop(ctx context.Context, prefix string) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetryPause, maxRetryPause
	failing := false
	for ctx.Err() == nil {
		f.mu.Lock()
		reads, changed := f.readsStore, f.changed
		f.mu.Unlock()
		if !reads {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := f.read(ctx, prefix)
		f.logRead(prefix, &failing, err)
		if err == nil {
			pause.Reset()
		} else {
			sleep(ctx, pause.NextBackOff())
		}
	}
}

// logRead logs the first failure of the reads below a prefix and the first success after failures.
func (f *Feed) logRead(prefix string, failing *bool, err error) {
	if failed := err != nil; failed == *failing {
		return
	}
	*failing = err != nil
	if err != nil {
		f.cfg.Log.Warn("store changes not read", "prefix", prefix, "cause", err.Error())
		return
	}
	f.cfg.Log.Info("store changes read again", "prefix", prefix)
}

// read reads the state or the changes after it once.
func (f *Feed) read(ctx context.Context, prefix string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ctx, receipt := f.observeReceipt(ctx)
	defer receipt.end()
	f.mu.Lock()
	known, after := f.replicas[prefix].known, f.replicas[prefix].next
	f.mu.Unlock()
	u, err := f.readUpdate(ctx, prefix, known, after)
	if err != nil {
		return err
	}
	if u.next < after {
		return errors.Wrapf(errBehind, "version %s, known %s", u.next, after)
	}
	u.confirmedAt, u.currentAt = f.cfg.Clock(), receipt.beganAt()
	f.apply(prefix, u)
	return nil
}

// readUpdate reads the state or, if it is known up to a version, the changes after that.
func (f *Feed) readUpdate(ctx context.Context, prefix string, known bool, after objects.Version) (update, error) {
	if !known {
		listing, err := f.cfg.Store.List(ctx, prefix)
		if err != nil {
			return update{}, err
		}
		return update{objects: packNewer(listing.Objects, after), present: keysOf(listing.Objects), next: listing.Version}, nil
	}
	batch, err := f.cfg.Store.Poll(ctx, prefix, after)
	if err != nil {
		return update{}, err
	}
	u := update{objects: packBatch(batch, after), next: batch.Next}
	if batch.Reset {
		u.present = make(map[string]bool, len(batch.Events))
		for _, e := range batch.Events {
			u.present[e.Object.Key] = !e.Deleted
		}
	}
	return u, nil
}

// receipt follows the receipt of the responses of one call. It is used by one goroutine.
type receipt struct {
	feed *Feed
	// calledAt is when the call began, and firstAt when the first of its responses began to arrive.
	calledAt, firstAt time.Duration
	// responses is the number of responses that have begun to arrive.
	responses int
}

// observeReceipt returns a context whose call counts as being received once its response begins to
// arrive, until the end of the receipt.
func (f *Feed) observeReceipt(ctx context.Context) (context.Context, *receipt) {
	r := &receipt{feed: f, calledAt: f.cfg.Clock()}
	return transfer.WithObserver(ctx, r.begin), r
}

func (r *receipt) begin() {
	if r.responses == 0 {
		r.firstAt = r.feed.cfg.Clock()
	}
	r.responses++
	r.feed.addReceiving(1)
}

// end must be called after the call.
func (r *receipt) end() { r.feed.addReceiving(-r.responses) }

// beganAt returns a time at which the content of the response was current: when it began to arrive, or when the call
// began if that is not known.
func (r *receipt) beganAt() time.Duration {
	if r.responses == 0 {
		return r.calledAt
	}
	return r.firstAt
}

func (f *Feed) addReceiving(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receiving += n
}

package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/objects"
)

const (
	// cellsPrefix is where the records of all cells are kept.
	cellsPrefix = "cells/"
	// storeTimeout bounds one read or write of the record.
	storeTimeout = time.Second
)

func (c *Control) recordKey() string { return cellsPrefix + c.cfg.Cell }

// storeCall runs a call of the store without holding up the loop.
func (c *Control) storeCall(ctx context.Context, f func(ctx context.Context) cell.Event) {
	c.calls.Add(1)
	go func() {
		defer c.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		c.post(f(ctx))
	}()
}

func (c *Control) readRecord(ctx context.Context) {
	c.storeCall(ctx, func(ctx context.Context) cell.Event {
		object, err := c.store.Get(ctx, c.recordKey())
		c.metrics.stored("get", err)
		if errors.Is(err, objects.ErrNotFound) {
			return cell.RecordRead{Status: cell.ReadAbsent}
		}
		if err != nil {
			c.log.Warn("record not read", "reason", err.Error())
			return cell.RecordRead{Status: cell.ReadFailed}
		}
		record, err := cell.DecodeRecord(object.Value)
		if err != nil {
			c.log.Error("record not understood", "reason", err.Error())
			return cell.RecordRead{Status: cell.ReadFailed}
		}
		return cell.RecordRead{
			Status: cell.ReadFound, Version: int64(object.Version), WriteID: object.WriteID, Record: record,
		}
	})
}

func (c *Control) writeRecord(ctx context.Context, e cell.WriteRecord) {
	value, err := e.Record.Encode()
	if err != nil {
		c.log.Error("record not written", "reason", err.Error())
		c.local = append(c.local, cell.RecordWritten{ID: e.ID, Status: cell.WriteUnavailable})
		return
	}
	c.storeCall(ctx, func(ctx context.Context) cell.Event {
		version, err := c.store.Put(ctx, c.recordKey(), value, objects.Version(e.Expected), e.ID)
		c.metrics.stored("put", err)
		if err != nil {
			c.log.Warn("record not written", "reason", err.Error(), "expected", e.Expected)
		}
		return cell.RecordWritten{ID: e.ID, Status: writeStatus(err), Version: int64(version)}
	})
}

// writeStatus sorts the errors of Put; whatever is not known to have failed may still
// take effect.
func writeStatus(err error) cell.WriteStatus {
	switch {
	case err == nil:
		return cell.WriteDone
	case errors.Is(err, objects.ErrConflict):
		return cell.WriteConflict
	case errors.IsAny(err, objects.ErrUnavailable, objects.ErrBudget, objects.ErrTooLarge):
		return cell.WriteUnavailable
	default:
		return cell.WriteUnknown
	}
}

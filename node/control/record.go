package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/objects"
)

const (
	// cellsPrefix is the key prefix of the records of all cells in the object store.
	cellsPrefix = "cells/"
	// storeTimeout is the timeout of one store call, polls excepted.
	storeTimeout = time.Second
)

func (c *Control) recordKey() string { return cellsPrefix + c.cfg.Cell }

// startStoreCall runs a store call in a goroutine of its own and posts the resulting event.
func (c *Control) startStoreCall(ctx context.Context, f func(ctx context.Context) cell.Event) {
	c.calls.Add(1)
	go func() {
		defer c.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		c.post(f(ctx))
	}()
}

func (c *Control) readRecord(ctx context.Context) {
	c.startStoreCall(ctx, func(ctx context.Context) cell.Event {
		object, err := c.store.Get(ctx, c.recordKey())
		c.metrics.countStoreCall("get", err)
		if errors.Is(err, objects.ErrNotFound) {
			return cell.RecordRead{Status: cell.ReadAbsent}
		}
		if err != nil {
			c.log.Warn("cell record not read", "reason", err.Error())
			return cell.RecordRead{Status: cell.ReadFailed}
		}
		record, err := cell.DecodeRecord(object.Value)
		if err != nil {
			c.log.Error("cell record not decoded", "reason", err.Error())
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
		c.log.Error("cell record not encoded", "reason", err.Error())
		c.localEvents = append(c.localEvents, cell.RecordWritten{ID: e.ID, Status: cell.WriteUnavailable})
		return
	}
	c.startStoreCall(ctx, func(ctx context.Context) cell.Event {
		version, err := c.store.Put(ctx, c.recordKey(), value, objects.Version(e.Expected), e.ID)
		c.metrics.countStoreCall("put", err)
		if err != nil {
			c.log.Warn("cell record not written", "reason", err.Error(), "expected", e.Expected)
		}
		return cell.RecordWritten{ID: e.ID, Status: writeStatus(err), Version: int64(version)}
	})
}

// writeStatus classifies the error of a Put. Any error that does not prove that the write failed
// is WriteUnknown: the write may still take effect.
func writeStatus(err error) cell.WriteStatus {
	switch {
	case err == nil:
		return cell.WriteDone
	case errors.Is(err, objects.ErrConflict):
		return cell.WriteConflict
	case errors.IsAny(err, objects.ErrUnavailable, objects.ErrBudgetExhausted, objects.ErrTooLarge):
		return cell.WriteUnavailable
	default:
		return cell.WriteUnknown
	}
}

package transfer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestCall reads a body of two parts, the second one 300 ms after the first. The call ends during that
// pause in some rows.
func TestCall(t *testing.T) {
	rows := []struct {
		name string
		// cause ends the context 100 ms after the call began; nil lets its deadline pass then.
		cause error
		// received is set if the response begins before that.
		received bool
		want     error
	}{
		{name: "deadline passes while it is received", received: true},
		{name: "wait ends while it is received", cause: ErrWaitEnded, received: true},
		{name: "cancelled while it is received", cause: context.Canceled, received: true, want: context.Canceled},
		{name: "deadline passes before", want: context.DeadlineExceeded},
		{name: "wait ends before", cause: ErrWaitEnded, want: ErrWaitEnded},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			ctx, cancelCause := context.WithCancelCause(context.Background())
			defer cancelCause(context.Canceled)
			if row.cause == nil {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
			} else {
				time.AfterFunc(100*time.Millisecond, func() { cancelCause(row.cause) })
			}
			call := NewCall(ctx)
			defer call.Close()
			reader, writer := io.Pipe()
			context.AfterFunc(call, func() { _ = writer.CloseWithError(context.Cause(call)) })
			if !row.received {
				<-call.Done()
				if !errors.Is(context.Cause(call), row.want) {
					t.Errorf("got %v, want %v", context.Cause(call), row.want)
				}
				return
			}
			go func() {
				_, _ = writer.Write([]byte("first "))
				time.Sleep(300 * time.Millisecond)
				_, _ = writer.Write([]byte("second"))
				_ = writer.Close()
			}()
			data, err := call.ReadAll(reader, 100)
			if row.want != nil {
				if !errors.Is(err, row.want) {
					t.Errorf("got %v, want %v", err, row.want)
				}
			} else if err != nil || string(data) != "first second" {
				t.Errorf("got %q, %v", data, err)
			}
		})
	}
}

// TestStalledBodyEndsTheCall checks that a body that stops arriving is given up.
func TestStalledBodyEndsTheCall(t *testing.T) {
	call := NewCall(context.Background())
	defer call.Close()
	reader, writer := io.Pipe()
	context.AfterFunc(call, func() { _ = writer.CloseWithError(context.Cause(call)) })
	go func() { _, _ = writer.Write([]byte("begin")) }()
	began := time.Now()
	data, err := call.ReadAll(reader, 100)
	if took := time.Since(began); !errors.Is(err, ErrStalled) || string(data) != "begin" || took > 2*StallTimeout {
		t.Errorf("got %q, %v after %v", data, err, took)
	}
}

package owner

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/pacing"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// recorder is a plane.Sink that forwards an answer, paces it if required, and keeps a copy of a
// small one for replay to a resend.
type recorder struct {
	sink plane.Sink
	// stream paces the answer; nil if it is not paced.
	stream *pacing.Stream
	// piece is the largest paced write, in bytes.
	piece int
	// room is the number of body bytes that may still be kept; below zero nothing is kept.
	room  int
	kept  *outcome.Answer
	bytes uint64
}

func newRecorder(sink plane.Sink, pacer *pacing.Pacer, keep int) *recorder {
	r := &recorder{sink: sink, room: keep}
	if pacer != nil {
		r.stream = pacer.Stream()
		r.piece = pacer.PieceBytes()
	}
	return r
}

// pacing returns the pacer for an answer to another region, or nil.
func (o *Owner) pacing(request *plane.Request) *pacing.Pacer {
	if !request.CrossRegion {
		return nil
	}
	return o.pacer
}

// Head implements plane.Sink.
func (r *recorder) Head(head plane.Head) error {
	if r.room > 0 {
		r.keepHead(head)
	}
	return r.sink.Head(head)
}

func (r *recorder) keepHead(head plane.Head) {
	r.kept = &outcome.Answer{Status: head.Status, Target: head.Target, Fence: head.Fence.String()}
	for _, f := range head.Headers {
		r.kept.Headers = append(r.kept.Headers, outcome.Field{Name: f.Name, Value: f.Value})
	}
}

// Write implements plane.Sink.
func (r *recorder) Write(chunk []byte) error {
	r.keepBody(chunk)
	if r.stream == nil {
		return r.pass(chunk)
	}
	for len(chunk) > 0 {
		n := min(len(chunk), r.piece)
		if wait := r.stream.Take(time.Now(), n); wait > 0 {
			time.Sleep(wait)
		}
		if err := r.pass(chunk[:n]); err != nil {
			return err
		}
		chunk = chunk[n:]
	}
	return nil
}

func (r *recorder) pass(chunk []byte) error {
	if err := r.sink.Write(chunk); err != nil {
		return err
	}
	r.bytes += uint64(len(chunk))
	return nil
}

func (r *recorder) keepBody(chunk []byte) {
	if r.kept == nil {
		return
	}
	if r.room -= len(chunk); r.room < 0 {
		r.kept = nil
		return
	}
	r.kept.Body = append(r.kept.Body, chunk...)
}

// answer returns the copy of the complete answer, or nil if it was not kept.
func (r *recorder) answer() *outcome.Answer { return r.kept }

// replay sends a kept answer to the sink.
func (r *recorder) replay(answer *outcome.Answer) error {
	head := plane.Head{Status: answer.Status, Target: answer.Target, Length: int64(len(answer.Body))}
	head.Fence, _ = fence.Parse(answer.Fence)
	for _, f := range answer.Headers {
		head.Headers = append(head.Headers, plane.Header{Name: f.Name, Value: f.Value})
	}
	r.room = 0
	if err := r.sink.Head(head); err != nil {
		return err
	}
	if len(answer.Body) == 0 {
		return nil
	}
	return r.pass(answer.Body)
}

package owner

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/pacing"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// recorder is a plane.Sink that forwards an answer, paces it if required, and keeps a copy of a
// small one, which is replayed if the caller resends the request.
type recorder struct {
	sink plane.Sink
	// stream paces the answer; nil if it is not paced.
	stream *pacing.Stream
	// chunkBytes is the largest paced write, in bytes.
	chunkBytes int
	// keepBytesLeft is the number of body bytes that may still be kept; below zero nothing is kept.
	keepBytesLeft  int
	keptAnswer     *outcome.Answer
	bytesForwarded uint64
}

func newRecorder(sink plane.Sink, pacer *pacing.Pacer, keepBytes int) *recorder {
	r := &recorder{sink: sink, keepBytesLeft: keepBytes}
	if pacer != nil {
		r.stream = pacer.NewStream()
		r.chunkBytes = pacer.ChunkBytes()
	}
	return r
}

// pacerFor returns the pacer for an answer to another region, or nil.
func (o *Owner) pacerFor(request *plane.Request) *pacing.Pacer {
	if !request.CrossRegion {
		return nil
	}
	return o.pacer
}

// Head implements plane.Sink.
func (r *recorder) Head(head plane.Head) error {
	if r.keepBytesLeft > 0 {
		r.keepHead(head)
	}
	return r.sink.Head(head)
}

func (r *recorder) keepHead(head plane.Head) {
	r.keptAnswer = &outcome.Answer{Status: head.Status, Target: head.Target, Fence: head.Fence.String()}
	for _, f := range head.Headers {
		r.keptAnswer.Headers = append(r.keptAnswer.Headers, outcome.Field{Name: f.Name, Value: f.Value})
	}
}

// Write implements plane.Sink.
func (r *recorder) Write(chunk []byte) error {
	r.keepBody(chunk)
	if r.stream == nil {
		return r.forward(chunk)
	}
	for len(chunk) > 0 {
		n := min(len(chunk), r.chunkBytes)
		if wait := r.stream.Reserve(time.Now(), n); wait > 0 {
			time.Sleep(wait)
		}
		if err := r.forward(chunk[:n]); err != nil {
			return err
		}
		chunk = chunk[n:]
	}
	return nil
}

func (r *recorder) forward(chunk []byte) error {
	if err := r.sink.Write(chunk); err != nil {
		return err
	}
	r.bytesForwarded += uint64(len(chunk))
	return nil
}

// keepBody appends chunk to the kept answer, or drops the answer if it has become too large.
func (r *recorder) keepBody(chunk []byte) {
	if r.keptAnswer == nil {
		return
	}
	if r.keepBytesLeft -= len(chunk); r.keepBytesLeft < 0 {
		r.keptAnswer = nil
		return
	}
	r.keptAnswer.Body = append(r.keptAnswer.Body, chunk...)
}

// completeAnswer returns the copy of the complete answer, or nil if it was not kept.
func (r *recorder) completeAnswer() *outcome.Answer { return r.keptAnswer }

// replay sends a kept answer to the sink.
func (r *recorder) replay(answer *outcome.Answer) error {
	head := plane.Head{Status: answer.Status, Target: answer.Target, Length: int64(len(answer.Body))}
	head.Fence, _ = fence.Parse(answer.Fence)
	for _, f := range answer.Headers {
		head.Headers = append(head.Headers, plane.Header{Name: f.Name, Value: f.Value})
	}
	r.keepBytesLeft = 0
	if err := r.sink.Head(head); err != nil {
		return err
	}
	if len(answer.Body) == 0 {
		return nil
	}
	return r.forward(answer.Body)
}

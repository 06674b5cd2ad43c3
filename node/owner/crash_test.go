package owner

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// tally counts bookings by outcome.
type tally struct {
	mu sync.Mutex
	// ends counts all bookings, ran only those that were executed.
	ends, ran map[outcome.Outcome]int
}

// TestShareOfUnknown closes all connections to the target at random times while bookings run,
// and logs how many bookings end as unknown without having run. Each caller resends once. A
// booking reported as not run must not have run, an answered one must have run, and none may
// run twice.
func TestShareOfUnknown(t *testing.T) {
	const callers, rounds, breaks = 12, 40, 20
	s := newStand(t)
	random := rand.New(rand.NewPCG(5, 5))
	s.fake.setWork(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		s.fake.ran(r)
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, "booked")
	})
	first := tally{ends: map[outcome.Outcome]int{}, ran: map[outcome.Outcome]int{}}
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for range rounds {
				s.bookTwice(&first)
			}
		})
	}
	for range breaks {
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		s.fake.server.CloseClientConnections()
	}
	wait.Wait()
	const all = callers * rounds
	t.Logf("%d bookings, connections broken %d times: answered %d, not run %d, unknown %d of which %d ran", all, breaks,
		first.ends[outcome.Answered], first.ends[outcome.NotRun], first.ends[outcome.Unknown], first.ran[outcome.Unknown])
	if first.ran[outcome.NotRun] > 0 {
		t.Errorf("%d bookings reported as not run did run", first.ran[outcome.NotRun])
	}
	if first.ran[outcome.Answered] != first.ends[outcome.Answered] {
		t.Errorf("%d bookings answered, %d of them ran", first.ends[outcome.Answered], first.ran[outcome.Answered])
	}
}

// bookTwice sends a booking and sends it again with the same id.
func (s *stand) bookTwice(first *tally) {
	id := ulid.Make()
	result := s.owner.Serve(context.Background(), booking(id, 1), &answerSink{})
	ran := s.settledRuns(id, result)
	first.mu.Lock()
	first.ends[result.Outcome]++
	if ran > 0 {
		first.ran[result.Outcome]++
	}
	first.mu.Unlock()
	s.owner.Serve(context.Background(), booking(id, 2), &answerSink{})
	if n := s.fake.executed(id); n > 1 {
		s.t.Errorf("booking ran %d times", n)
	}
}

// settledRuns returns how often a booking ran. After an unknown outcome it first waits for
// work that may still be running.
func (s *stand) settledRuns(id ulid.ULID, result plane.Result) int {
	if result.Outcome == outcome.Unknown {
		time.Sleep(5 * time.Millisecond)
	}
	return s.fake.executed(id)
}

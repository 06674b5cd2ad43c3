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

// outcomeCounts counts bookings by outcome.
type outcomeCounts struct {
	mu sync.Mutex
	// bookings counts all bookings, executed only those that ran.
	bookings, executed map[outcome.Outcome]int
}

// TestShareOfUnknown closes all connections to the target at random times while bookings run,
// and logs how many bookings end as unknown without having run. Each caller resends once. A
// booking reported as not run must not have run, an answered one must have run, and none may
// run twice.
func TestShareOfUnknown(t *testing.T) {
	const callers, rounds, breaks = 12, 40, 20
	s := newFixture(t)
	random := rand.New(rand.NewPCG(5, 5))
	s.fake.setWork(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		s.fake.recordExecution(r)
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, "booked")
	})
	first := outcomeCounts{bookings: map[outcome.Outcome]int{}, executed: map[outcome.Outcome]int{}}
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for range rounds {
				s.bookAndResend(&first)
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
		first.bookings[outcome.Answered], first.bookings[outcome.NotRun], first.bookings[outcome.Unknown], first.executed[outcome.Unknown])
	if first.executed[outcome.NotRun] > 0 {
		t.Errorf("%d bookings reported as not run did run", first.executed[outcome.NotRun])
	}
	if first.executed[outcome.Answered] != first.bookings[outcome.Answered] {
		t.Errorf("%d bookings answered, %d of them ran", first.bookings[outcome.Answered], first.executed[outcome.Answered])
	}
}

// bookAndResend sends a booking and sends it again with the same id.
func (s *fixture) bookAndResend(first *outcomeCounts) {
	id := ulid.Make()
	result := s.owner.Serve(context.Background(), booking(id, 1), &answerSink{})
	ran := s.executionsOnceEnded(id, result)
	first.mu.Lock()
	first.bookings[result.Outcome]++
	if ran > 0 {
		first.executed[result.Outcome]++
	}
	first.mu.Unlock()
	s.owner.Serve(context.Background(), booking(id, 2), &answerSink{})
	if n := s.fake.executionsOf(id); n > 1 {
		s.t.Errorf("booking ran %d times", n)
	}
}

// executionsOnceEnded returns how often a booking ran. After an unknown outcome it first waits
// for work that may still be running.
func (s *fixture) executionsOnceEnded(id ulid.ULID, result plane.Result) int {
	if result.Outcome == outcome.Unknown {
		time.Sleep(5 * time.Millisecond)
	}
	return s.fake.executionsOf(id)
}

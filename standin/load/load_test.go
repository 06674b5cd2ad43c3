package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/target"
)

// shortKind returns a kind of work with a short response.
func shortKind(deadline time.Duration) Kind {
	return Kind{Name: "short", Service: "s", Method: "POST", Share: 1, Deadline: Duration(deadline)}
}

func testPlan(d time.Duration, rate float64, kinds ...Kind) Plan {
	return Plan{
		Entries: []string{"http://unused"},
		Seed:    1,
		Kinds:   kinds,
		Phases:  []Phase{{Name: "only", Duration: Duration(d), Rate: rate}},
	}
}

func allArrivals(t *testing.T, plan Plan) []arrival {
	t.Helper()
	if err := plan.prepare(); err != nil {
		t.Fatal(err)
	}
	s := newSchedule(&plan)
	var all []arrival
	for a, ok := s.next(); ok; a, ok = s.next() {
		all = append(all, a)
	}
	return all
}

// TestScheduleFollowsRatesAndShares checks the number of arrivals by phase and kind, and that the same seed
// generates the same arrivals.
func TestScheduleFollowsRatesAndShares(t *testing.T) {
	plan := testPlan(10*time.Second, 100, shortKind(time.Second), Kind{
		Name: "long", Service: "s", Method: "GET", Share: 3, Deadline: Duration(time.Second),
	})
	plan.Phases = append(plan.Phases, Phase{Name: "ramp", Duration: Duration(10 * time.Second), Rate: 100, EndRate: 300})
	var perPhase, perKind [2]int
	all := allArrivals(t, plan)
	for i, a := range all {
		perPhase[a.phase]++
		perKind[a.kind]++
		if i > 0 && a.at < all[i-1].at {
			t.Fatalf("arrival %d is earlier than the one before it", i)
		}
	}
	within10Percent := func(got, want int) bool { return got > want*9/10 && got < want*11/10 }
	if !within10Percent(perPhase[0], 1000) || !within10Percent(perPhase[1], 2000) {
		t.Errorf("arrivals per phase: %v", perPhase)
	}
	if !within10Percent(perKind[0]*3, perKind[1]) {
		t.Errorf("arrivals per kind: %v", perKind)
	}
	again := allArrivals(t, plan)
	if len(again) != len(all) || again[len(all)-1] != all[len(all)-1] {
		t.Error("the same seed generates different arrivals")
	}
}

// TestPopularKeysChange checks the most popular key before and after the set of popular keys shifts by
// hotSetShift, which with 1000 keys turns key 0 into key 919.
func TestPopularKeysChange(t *testing.T) {
	plan := testPlan(20*time.Second, 500, shortKind(time.Second))
	plan.Keys = KeyPlan{Count: 1000, Zipf: 1.5, Prefixes: []string{"a-", "b-"}, HotEvery: Duration(10 * time.Second)}
	var counts [2]map[string]int
	for i := range counts {
		counts[i] = map[string]int{}
	}
	for _, a := range allArrivals(t, plan) {
		counts[a.at/(10*time.Second)][a.key]++
	}
	hottest := func(m map[string]int) (key string) {
		for k, n := range m {
			if n > m[key] {
				key = k
			}
		}
		return key
	}
	if first, then := hottest(counts[0]), hottest(counts[1]); first != "a-0" || then != "b-919" {
		t.Errorf("hottest keys %q, then %q", first, then)
	}
}

// TestInvalidPlans checks that Run returns ErrPlan for plans that it cannot run.
func TestInvalidPlans(t *testing.T) {
	rows := map[string]func(*Plan){
		"no entries":  func(p *Plan) { p.Entries = nil },
		"no kinds":    func(p *Plan) { p.Kinds = nil },
		"zipf of one": func(p *Plan) { p.Keys.Zipf = 1 },
		"no deadline": func(p *Plan) { p.Kinds[0].Deadline = 0 },
		"no rate":     func(p *Plan) { p.Phases[0].Rate = 0 },
	}
	for name, invalidate := range rows {
		plan := testPlan(time.Second, 1, shortKind(time.Second))
		invalidate(&plan)
		if _, err := Run(context.Background(), plan); !errors.Is(err, ErrPlan) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// TestOutcomes sends a few requests to a server that ends all of them in the same way.
func TestOutcomes(t *testing.T) {
	answer := func(outcome, reason string, status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, outcome)
			w.Header().Set(headerReason, reason)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	long := Kind{Name: "long", Service: "s", Method: "GET", Share: 1, Deadline: Duration(time.Second), Bytes: 100}
	stream := func(n int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Trailer", headerOutcome)
			key := strings.TrimPrefix(r.URL.Path, "/v1/s/")
			_, _ = w.Write(target.Content(key, 0, n))
			w.Header().Set(headerOutcome, "answered")
		}
	}
	rows := []struct {
		name   string
		serve  http.HandlerFunc
		kind   Kind
		want   Outcome
		reason string
	}{
		{"answered", answer("answered", "", 200, `{"service":"s","key":"key-0"}`), shortKind(time.Second), Answered, ""},
		{"response for another key", answer("answered", "", 200, `{"service":"s","key":"key-1"}`), shortKind(time.Second), Wrong, "status 200"},
		{"not run", answer("not-run", "shed", 503, "{}"), shortKind(time.Second), NotRun, "shed"},
		{"unknown", answer("unknown", "lost", 504, "{}"), shortKind(time.Second), Unknown, "lost"},
		{"no outcome", answer("", "", 500, "{}"), shortKind(time.Second), Unknown, ""},
		{"complete long response", stream(100), long, Answered, ""},
		{"incomplete long response", stream(99), long, Cut, "connection failed"},
		{"incomplete response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, "answered")
			w.Header().Set("Content-Length", "50")
			_, _ = io.WriteString(w, "{")
		}, shortKind(time.Second), Cut, "connection failed"},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, shortKind(time.Second),
			Unreachable, "connection failed"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			server := httptest.NewServer(row.serve)
			defer server.Close()
			plan := testPlan(100*time.Millisecond, 100, row.kind)
			plan.Entries = []string{server.URL}
			plan.Keys.Count = 1
			result, err := Run(context.Background(), plan)
			if err != nil {
				t.Fatal(err)
			}
			phase := result.Phases[0]
			tally := phase.Kinds[row.kind.Name]
			if tally.Sent == 0 || tally.Outcomes[row.want] != tally.Sent {
				t.Errorf("got %+v, want all %s", tally, row.want)
			}
			if row.want != Answered && phase.Reasons[string(row.want)+" "+row.reason] != tally.Sent {
				t.Errorf("reasons %v", phase.Reasons)
			}
		})
	}
}

// TestLatencyCountsFromTheIntendedTime stalls the server. An open-loop generator must keep
// sending, and the latency of each request during the stall must include its wait.
func TestLatencyCountsFromTheIntendedTime(t *testing.T) {
	const stall = 300 * time.Millisecond
	began := time.Now()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Until(began.Add(stall)))
		w.Header().Set(headerOutcome, "answered")
		_, _ = io.WriteString(w, `{"service":"s","key":"key-0"}`)
	}))
	defer server.Close()
	plan := testPlan(stall/3, 200, shortKind(stall/2))
	plan.Entries = []string{server.URL}
	plan.Keys.Count = 1
	result, err := Run(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	tally := result.Phases[0].Kinds["short"]
	if tally.Sent < 10 || tally.InTime != 0 {
		t.Errorf("sent %d, in time %d", tally.Sent, tally.InTime)
	}
	if minimum := float64((stall - stall/3).Milliseconds()) - 50; tally.Latency.P50 < minimum {
		t.Errorf("p50 %v ms, want at least %v", tally.Latency.P50, minimum)
	}
}

// TestOwnersAreLearned checks that requests go directly to the owner once an answer from the entry has named
// it.
func TestOwnersAreLearned(t *testing.T) {
	var direct, entry int
	owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		direct++
		w.Header().Set(headerOutcome, "answered")
		_, _ = io.WriteString(w, `{"service":"s","key":"key-0"}`)
	}))
	defer owner.Close()
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entry++
		w.Header().Set(headerOutcome, "answered")
		w.Header().Set(headerOwner, strings.TrimPrefix(owner.URL, "http://"))
		_, _ = io.WriteString(w, `{"service":"s","key":"key-0"}`)
	}))
	defer first.Close()
	plan := testPlan(200*time.Millisecond, 100, shortKind(time.Second))
	plan.Entries, plan.LearnOwners, plan.Keys.Count = []string{first.URL}, true, 1
	if _, err := Run(context.Background(), plan); err != nil {
		t.Fatal(err)
	}
	if direct == 0 || entry == 0 {
		t.Errorf("%d requests at the entry, %d at the owner", entry, direct)
	}
}

package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/execlog"
)

const (
	shortServiceTime = time.Millisecond
	// unreachedServiceTime is a service time longer than any test waits.
	unreachedServiceTime = time.Minute
)

// serviceTimes returns service times with d for the kind "long" and a short one for all
// others.
func serviceTimes(d time.Duration) map[string]time.Duration {
	return map[string]time.Duration{"": shortServiceTime, "long": d}
}

// TestRefusals checks that work refused for each reason is answered with that reason and leaves no line in
// the execution log. Work that ran although it was refused would be sent again and run twice.
func TestRefusals(t *testing.T) {
	rows := []struct {
		name    string
		config  Config
		faults  FaultsMessage
		headers []string
		want    Reason
	}{
		{name: "none"},
		{name: "starting", config: Config{StartTime: unreachedServiceTime}, want: ReasonStarting},
		{name: "draining", faults: FaultsMessage{Draining: true}, want: ReasonDraining},
		{name: "shed", faults: FaultsMessage{Shed: true}, want: ReasonShed},
		{name: "deadline passed", headers: []string{HeaderRemaining + ": 0"}, want: ReasonDeadline},
		{name: "deadline in the future", headers: []string{HeaderRemaining + ": 60000"}},
		{name: "latest start passed", headers: []string{HeaderRemaining + ": 60000", HeaderStartBy + ": 1"}, want: ReasonDeadline},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			row.config.ServiceTimes = serviceTimes(shortServiceTime)
			f := startTarget(t, row.config)
			f.SetFaults(row.faults)
			status, reason, _ := f.call(t, "POST", "/work/s/k", "", row.headers...)
			if reason != string(row.want) || (status == http.StatusOK) != (row.want == "") {
				t.Errorf("status %d, reason %q, want %q", status, reason, row.want)
			}
			if ran := len(f.log.After(0)) > 0; ran != (row.want == "") {
				t.Errorf("executed: %v", ran)
			}
		})
	}
}

// TestMalformedWork checks that malformed paths, queries and headers are answered with 400, so that they are
// not executed with default values instead.
func TestMalformedWork(t *testing.T) {
	f := startTarget(t, Config{ServiceTimes: serviceTimes(shortServiceTime)})
	for _, path := range []string{
		"/work/", "/work/s", "/work/s/", "/work//k", "/work/s/k?bytes=x", "/work/s/k?bytes=-1", "/work/s/k?rate=0",
	} {
		if status, _, _ := f.call(t, "GET", path, ""); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", path, status)
		}
	}
	for _, header := range []string{HeaderFence + ": x", HeaderRemaining + ": x", HeaderStartBy + ": x"} {
		if status, _, _ := f.call(t, "GET", "/work/s/k", "", header); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", header, status)
		}
	}
}

// occupySlot starts a request that takes up a slot until the returned function is called.
func (f *testTarget) occupySlot(t *testing.T, id string) (release func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	running := len(f.slots)
	go func() {
		defer close(ended)
		request, _ := http.NewRequestWithContext(ctx, "GET", f.url+"/work/s/k/long", nil)
		request.Header.Set(HeaderRequestID, id)
		request.Header.Set(HeaderAttempt, "1")
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	eventually(t, "the request takes a slot", func() bool { return len(f.slots) == running+1 })
	return func() {
		cancel()
		<-ended
	}
}

// TestSlotsQueueAndShedding fills the only slot and the queue. A further request must be shed, and a queued
// one refused at its deadline, and neither may run.
func TestSlotsQueueAndShedding(t *testing.T) {
	f := startTarget(t, Config{Slots: 1, Queue: 1, ServiceTimes: serviceTimes(unreachedServiceTime)})
	defer f.occupySlot(t, "holder")()
	queued := make(chan string, 1)
	go func() {
		_, reason, _ := f.call(t, "GET", "/work/s/k", "", HeaderRemaining+": 300")
		queued <- reason
	}()
	eventually(t, "one request is queued", func() bool { return f.queued.Load() == 1 })
	if _, reason, _ := f.call(t, "GET", "/work/s/k", ""); reason != string(ReasonShed) {
		t.Errorf("full queue: reason %q", reason)
	}
	if reason := <-queued; reason != string(ReasonDeadline) {
		t.Errorf("deadline while queued: reason %q", reason)
	}
	if n := len(f.log.After(0)); n != 1 {
		t.Errorf("%d lines logged, want only the start of the running request", n)
	}
}

// TestGrantLapsesInTheQueue revokes the grant of a request that is queued for a slot: the
// grant must be checked again before the request starts.
func TestGrantLapsesInTheQueue(t *testing.T) {
	f := startTarget(t, Config{Slots: 1, CheckFences: true, ServiceTimes: serviceTimes(unreachedServiceTime)})
	release := f.occupySlot(t, "holder")
	f.call(t, "PUT", "/v1/grants", grantsBody("1.1", time.Minute))
	queued := make(chan string, 1)
	go func() {
		_, reason, _ := f.call(t, "GET", "/work/s/k", "", HeaderSlice+": a/1", HeaderFence+": 1.1")
		queued <- reason
	}()
	eventually(t, "one request is queued", func() bool { return f.queued.Load() == 1 })
	f.call(t, "PUT", "/v1/grants", `{"revoke":["a/1"]}`)
	release()
	if reason := <-queued; reason != string(ReasonLapsed) {
		t.Errorf("reason %q", reason)
	}
}

// TestFenceRisesWhileWorkRuns raises the fence of a slice while work on it runs, as happens
// when the controller changes. The work may commit only if the target has held the slice
// without interruption.
func TestFenceRisesWhileWorkRuns(t *testing.T) {
	rows := []struct {
		name    string
		between string
		want    execlog.Outcome
	}{
		{"grant not interrupted", "", execlog.Done},
		{"after a revocation", `{"revoke":["a/1"]}`, execlog.Lapsed},
		{"after the grant expired", grantsBody("1.1", 0), execlog.Lapsed},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := startTarget(t, Config{CheckFences: true, ServiceTimes: serviceTimes(200 * time.Millisecond)})
			f.call(t, "PUT", "/v1/grants", grantsBody("1.1", time.Minute))
			go func() { f.call(t, "POST", "/work/s/k/long", "", HeaderSlice+": a/1", HeaderFence+": 1.1") }()
			eventually(t, "the request runs", func() bool { return len(f.log.After(0)) == 1 })
			if row.between != "" {
				f.call(t, "PUT", "/v1/grants", row.between)
			}
			f.call(t, "PUT", "/v1/grants", grantsBody("2.1", time.Minute))
			eventually(t, "the end is logged", func() bool { return len(f.log.After(0)) == 2 })
			if got := f.log.After(1)[0].Outcome; got != row.want {
				t.Errorf("outcome %q, want %q", got, row.want)
			}
		})
	}
}

// TestGrantIsReadAfterItLapsed sends a grant to a frozen target, which reads it only after
// it is no longer frozen. The grant has expired by then and must not take effect.
func TestGrantIsReadAfterItLapsed(t *testing.T) {
	const remaining = 100 * time.Millisecond
	f := startTarget(t, Config{CheckFences: true, ServiceTimes: serviceTimes(shortServiceTime)})
	f.SetFaults(FaultsMessage{Frozen: true})
	text := grantsBody("1.1", remaining)
	lapsed := execlog.BootTime() + remaining
	answered := make(chan struct{})
	go func() {
		f.call(t, "PUT", "/v1/grants", text)
		close(answered)
	}()
	eventually(t, "the grant has lapsed", func() bool { return execlog.BootTime() > lapsed })
	f.SetFaults(FaultsMessage{})
	<-answered
	if _, reason, _ := f.call(t, "POST", "/work/s/k", "", HeaderSlice+": a/1", HeaderFence+": 1.1"); reason != string(ReasonLapsed) {
		t.Errorf("reason %q, want %q", reason, ReasonLapsed)
	}
}

// TestGrantLapsesWhileFrozen freezes a target that checks fences while a request runs, and
// revokes the grant. The work must not commit when the target resumes.
func TestGrantLapsesWhileFrozen(t *testing.T) {
	f := startTarget(t, Config{CheckFences: true, ServiceTimes: serviceTimes(50 * time.Millisecond)})
	f.call(t, "PUT", "/v1/grants", grantsBody("1.1", time.Minute))
	status := make(chan int, 1)
	go func() {
		got, _, _ := f.call(t, "POST", "/work/s/k/long", "", HeaderSlice+": a/1", HeaderFence+": 1.1")
		status <- got
	}()
	eventually(t, "the request runs", func() bool { return len(f.log.After(0)) == 1 })
	f.SetFaults(FaultsMessage{Frozen: true})
	f.grants.revoke("a/1")
	f.SetFaults(FaultsMessage{})
	if got := <-status; got != 0 {
		t.Errorf("status %d, want no answer", got)
	}
	eventually(t, "the end is logged", func() bool { return len(f.log.After(0)) == 2 })
	if got := f.log.After(1)[0].Outcome; got != execlog.Lapsed {
		t.Errorf("outcome %q", got)
	}
}

// TestCancellation cancels a queued and a running request, and one that arrives after its cancellation. A
// request reported as cancelled may not run later, and one that ran may not be reported as cancelled.
func TestCancellation(t *testing.T) {
	cancelState := func(t *testing.T, f *testTarget, id string) CancelState {
		t.Helper()
		_, _, body := f.call(t, "DELETE", "/v1/running/"+id+"/1", "")
		var m CancelMessage
		if err := json.Unmarshal([]byte(body), &m); err != nil {
			t.Fatalf("%q: %v", body, err)
		}
		return m.State
	}
	f := startTarget(t, Config{Slots: 1, ServiceTimes: serviceTimes(unreachedServiceTime)})
	defer f.occupySlot(t, "running")()
	queued := make(chan string, 1)
	go func() {
		_, reason, _ := f.call(t, "POST", "/work/s/k", "", HeaderRequestID+": waiting", HeaderAttempt+": 1")
		queued <- reason
	}()
	eventually(t, "one request is queued", func() bool { return f.queued.Load() == 1 })
	if state := cancelState(t, f, "waiting"); state != CancelledState {
		t.Errorf("waiting: %q", state)
	}
	if reason := <-queued; reason != string(ReasonCancelled) {
		t.Errorf("waiting: reason %q", reason)
	}
	if state := cancelState(t, f, "running"); state != FinishedState {
		t.Errorf("running: %q", state)
	}
	eventually(t, "the end is logged", func() bool { return len(f.log.After(0)) == 2 })
	if got := f.log.After(1)[0].Outcome; got != execlog.Cancelled {
		t.Errorf("running: outcome %q", got)
	}
	if state := cancelState(t, f, "late"); state != UnknownState {
		t.Errorf("cancelled before its arrival: %q", state)
	}
	_, reason, _ := f.call(t, "POST", "/work/s/k", "", HeaderRequestID+": late", HeaderAttempt+": 1")
	if reason != string(ReasonCancelled) {
		t.Errorf("arrived after its cancellation: reason %q", reason)
	}
}

// TestFrozenTargetAnswersNothingAndReturns checks that a frozen target holds back probes and work, and that
// it answers both once the fault is cleared.
func TestFrozenTargetAnswersNothingAndReturns(t *testing.T) {
	f := startTarget(t, Config{ServiceTimes: serviceTimes(shortServiceTime)})
	f.SetFaults(FaultsMessage{Frozen: true})
	answered := make(chan int, 2)
	for _, path := range []string{"/health", "/work/s/k"} {
		go func() {
			status, _, _ := f.call(t, "GET", path, "")
			answered <- status
		}()
	}
	select {
	case <-answered:
		t.Error("answered while frozen")
	case <-time.After(50 * time.Millisecond):
	}
	if n := len(f.log.After(0)); n != 0 {
		t.Errorf("%d lines logged while frozen", n)
	}
	if status, _, _ := f.call(t, "POST", "/admin/faults", `{}`); status != http.StatusNoContent {
		t.Errorf("clear the freeze: status %d", status)
	}
	for range 2 {
		if status := <-answered; status != http.StatusOK {
			t.Errorf("after the freeze: status %d", status)
		}
	}
}

// TestPoisonCrashesAndIsLogged checks that the outcome crashed is in the log before the process ends; after
// the crash it could not be written any more.
func TestPoisonCrashesAndIsLogged(t *testing.T) {
	crashed := make(chan struct{}, 1)
	f := startTarget(t, Config{PoisonKey: "bad", Crash: func() { crashed <- struct{}{}; panic(http.ErrAbortHandler) }})
	f.call(t, "GET", "/work/s/bad", "")
	select {
	case <-crashed:
	case <-time.After(testDeadline):
		t.Fatal("no crash")
	}
	if last := f.log.After(1); len(last) == 0 || last[0].Outcome != execlog.Crashed {
		t.Errorf("log %v", f.log.After(0))
	}
}

// TestMisleadingReports checks that each misreport changes the load in answers to health probes, and nothing
// else in them.
func TestMisleadingReports(t *testing.T) {
	f := startTarget(t, Config{Slots: 2, Queue: 5, ServiceTimes: serviceTimes(unreachedServiceTime)})
	defer f.occupySlot(t, "holder")()
	for misreport, want := range map[Misreport]HealthMessage{
		"":            {State: Ready, Running: 1},
		MisreportIdle: {State: Ready},
		MisreportBusy: {State: Ready, Running: 2, Queued: 5},
	} {
		f.SetFaults(FaultsMessage{Misreport: misreport})
		_, _, body := f.call(t, "GET", "/health", "")
		var got HealthMessage
		if err := json.Unmarshal([]byte(body), &got); err != nil {
			t.Fatal(err)
		}
		want.Incarnation = f.Incarnation()
		if got != want {
			t.Errorf("misreport %q: got %+v, want %+v", misreport, got, want)
		}
	}
}

// TestSlowness checks the slowdown at the start, within and after the warm-up, and with the multiplier
// fault.
func TestSlowness(t *testing.T) {
	f := startTarget(t, Config{ColdTime: 100 * time.Second, ColdFactor: 5})
	at := func(age time.Duration) float64 {
		f.started = time.Now().Add(-age)
		return f.slowdown()
	}
	almostEqual := func(got, want float64) bool { return got > want-0.01 && got < want+0.01 }
	for age, want := range map[time.Duration]float64{0: 5, 50 * time.Second: 3, 100 * time.Second: 1, time.Hour: 1} {
		if got := at(age); !almostEqual(got, want) {
			t.Errorf("%v after the start: slowdown %v, want %v", age, got, want)
		}
	}
	f.SetFaults(FaultsMessage{Multiplier: 3})
	if got := at(time.Hour); !almostEqual(got, 3) {
		t.Errorf("with a multiplier: slowdown %v", got)
	}
}

// TestAnnouncement checks what the target announces, and that it drains when the node's answer asks it to
// stop.
func TestAnnouncement(t *testing.T) {
	announced := make(chan AnnounceMessage, 1)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var m AnnounceMessage
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil || r.URL.Path != "/v1/announce" {
			t.Errorf("announcement to %s: %v", r.URL.Path, err)
		}
		announced <- m
		_, _ = io.WriteString(w, `{"node":"n1","stop":true}`)
	}))
	defer node.Close()
	f := startTarget(t, Config{
		Node: node.URL, Address: "127.0.0.1:1", Slots: 12, CheckFences: true, Services: []string{"s"},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Announce(ctx) }()
	got := <-announced
	if got.Name != "t1" || got.Incarnation != f.Incarnation() || got.Slots != 12 || !got.ChecksFences ||
		got.Address != "127.0.0.1:1" || strings.Join(got.Services, " ") != "s" {
		t.Errorf("announced %+v", got)
	}
	eventually(t, "the target drains when the node asks it to stop", func() bool { return f.State() == Draining })
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

package sidecar

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// limitWindow is the span in which a target may get limitFactor times what its limit allows, and
	// limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettle is the time after a target first named its limit from which the limit binds.
	limitSettle = 3 * time.Second
	// drainTime is the time after which a leaving target gets no more requests.
	drainTime = 2 * time.Second
)

// sendSteadily sends requests for one key to each of the nodes at intervals until the returned function
// is called, which waits for them to end.
func (s *deployment) sendSteadily(path string, key int, interval time.Duration, nodes ...*node) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
					group.Go(func() { s.send(n, http.MethodGet, path, key) })
				}
			}
		})
	}
	return func() {
		close(done)
		group.Wait()
	}
}

// checkLimit fails the test if the target got more than allowed in any window since a time.
func checkLimit(t *testing.T, x *target, from time.Time, perSecond float64) {
	t.Helper()
	arrivals := x.arrivalsSince(from)
	most, first := 0, 0
	for i, a := range arrivals {
		for a.at.Sub(arrivals[first].at) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	if allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack; float64(most) > allowed {
		t.Errorf("a target with a limit of %v a second got %d requests within %v, allowed %v", perSecond, most, limitWindow, allowed)
	}
	t.Logf("%d requests, at most %d within %v", len(arrivals), most, limitWindow)
}

func TestKeyedTargetIsNotSentMoreThanItsLimit(t *testing.T) {
	s := newDeployment(t, "k", "s", "s")
	s.awaitServed(15*time.Second, s.nodes...)
	s.nodes[0].target.setAnswers("10", false)
	stop := s.sendSteadily("/look/x", 7, 40*time.Millisecond, s.nodes...)
	named := time.Now()
	time.Sleep(limitSettle + limitWindow + 2*time.Second)
	stop()
	checkLimit(t, s.nodes[0].target, named.Add(limitSettle), 10)
	s.reportViolations()
}

func TestSharedTargetIsNotSentMoreThanItsLimit(t *testing.T) {
	s := newDeployment(t, "s", "s", "k")
	s.awaitServed(15*time.Second, s.nodes[2])
	s.nodes[0].target.setAnswers("10", false)
	stop := s.sendSteadily("/read/x", -1, 30*time.Millisecond, s.nodes...)
	named := time.Now()
	time.Sleep(limitSettle + limitWindow + time.Second)
	stop()
	checkLimit(t, s.nodes[0].target, named.Add(limitSettle), 10)
	s.reportViolations()
}

// The limit is so low that the requests sent before the first answer would exceed it.
func TestLimitBindsAfterARestartOfTheNode(t *testing.T) {
	s := newDeployment(t, "k", "s", "s")
	s.awaitServed(15*time.Second, s.nodes...)
	limited := s.nodes[0]
	limited.target.setAnswers("0.25", false)
	limited.target.workTime = 600 * time.Millisecond
	others := s.nodes[1:]
	stop := s.sendSteadily("/look/x", 7, 50*time.Millisecond, others...)
	named := time.Now()
	for range 3 {
		time.Sleep(limitSettle)
		limited.restart(t)
	}
	time.Sleep(limitSettle)
	stop()
	checkLimit(t, limited.target, named.Add(limitSettle), 0.25)
}

// firstAnswerThrough sends requests to a node until it passes on an answer of the target, and returns the time.
func (s *deployment) firstAnswerThrough(t *testing.T, n *node, path string, key int, target string) time.Time {
	t.Helper()
	for began := time.Now(); time.Since(began) < 10*time.Second; {
		if status, text := s.send(n, http.MethodGet, path, key); status == http.StatusOK && strings.HasPrefix(text, target+" ") {
			return time.Now()
		}
	}
	t.Fatalf("%s passes on no answer of %s", n.name, target)
	return time.Time{}
}

func TestTargetThatLeavesByItsAnswersGetsNoRequests(t *testing.T) {
	s := newDeployment(t, "k", "s", "s")
	s.awaitServed(15*time.Second, s.nodes...)
	for _, row := range []struct {
		path   string
		key    int
		target *target
	}{{"/look/x", 7, s.nodes[0].target}, {"/read/x", -1, s.nodes[1].target}} {
		row.target.setAnswers("", true)
		var last time.Time
		for _, n := range s.nodes {
			last = s.firstAnswerThrough(t, n, row.path, row.key, row.target.id)
			if row.key < 0 {
				break
			}
		}
		time.Sleep(time.Until(last.Add(drainTime)))
		stop := s.sendSteadily(row.path, row.key, 20*time.Millisecond, s.nodes...)
		time.Sleep(2 * time.Second)
		stop()
		if late := row.target.arrivalsSince(last.Add(drainTime)); len(late) > 0 {
			t.Errorf("%s: %d requests reached a target later than %v after its answers said that it leaves", row.path, len(late), drainTime)
		}
	}
}

// Keys move away from a target whose limit is below the requests for them, so most are served.
func TestKeysLeaveATargetWithALimit(t *testing.T) {
	s := newDeployment(t, "k", "k", "k")
	s.awaitServed(15*time.Second, s.nodes...)
	limited := s.nodes[0]
	limited.target.setAnswers("5", false)
	var served, asked atomic.Int64
	ask := func(d time.Duration) float64 {
		served.Store(0)
		asked.Store(0)
		var group sync.WaitGroup
		for began := time.Now(); time.Since(began) < d; time.Sleep(10 * time.Millisecond) {
			group.Go(func() {
				key := int(asked.Add(1)) * 4099 % 65536
				if status, _ := s.send(s.nodes[key%3], http.MethodGet, "/look/x", key); status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		group.Wait()
		return float64(served.Load()) / float64(asked.Load())
	}
	ask(8 * time.Second)
	if share := ask(3 * time.Second); share < 0.9 {
		t.Errorf("%.2f of the requests were served although the other targets have room", share)
	}
	s.reportViolations()
}

package execlog

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
)

// process identifies one run of a target.
type process struct {
	target      string
	incarnation uint64
}

// Execution is one execution, assembled from its start and end lines.
type Execution struct {
	// Entry is the start line.
	Entry Entry
	// Start and End are times on the boot-time clock.
	Start time.Duration
	End   time.Duration
	// Outcome is empty if there is no end line. End is then the time of the process's last
	// line; the execution may have ended at any time after that.
	Outcome Outcome
}

// Executions assembles the executions from the entries of any number of logs, ordered by
// start time.
func Executions(entries []Entry) []Execution {
	type id struct {
		process
		number uint64
	}
	ends := make(map[id]Entry)
	last := make(map[process]time.Duration)
	for _, e := range entries {
		p := e.process()
		last[p] = max(last[p], time.Duration(e.Boot))
		if e.Phase == End {
			ends[id{p, e.Number}] = e
		}
	}
	var executions []Execution
	for _, e := range entries {
		if e.Phase != Start {
			continue
		}
		x := Execution{Entry: e, Start: time.Duration(e.Boot), End: last[e.process()]}
		if end, ok := ends[id{e.process(), e.Number}]; ok {
			x.End, x.Outcome = time.Duration(end.Boot), end.Outcome
		}
		executions = append(executions, x)
	}
	slices.SortStableFunc(executions, func(a, b Execution) int { return cmp.Compare(a.Start, b.Start) })
	return executions
}

func (e Entry) process() process { return process{e.Target, e.Incarnation} }

// Rule is a guarantee of the system that Check verifies.
type Rule string

const (
	// SingleOwner forbids concurrent executions of one key of a keyed service by two processes.
	SingleOwner Rule = "one owner"
	// MonotonicFences forbids an execution under a fence lower than one already seen for the
	// slice.
	MonotonicFences Rule = "fences grow"
	// AtMostOnce forbids two executions of a request id whose method is not idempotent.
	AtMostOnce Rule = "at most once"
)

// Violation is a violated rule with the two executions that violate it.
type Violation struct {
	Rule          Rule
	First, Second Execution
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s and %s", v.Rule, v.First, v.Second)
}

// String describes the execution.
func (x Execution) String() string {
	e := x.Entry
	return fmt.Sprintf("[%s #%d %s %s/%s slice %q fence %s id %q, %v to %v]",
		e.Target, e.Number, e.Method, e.Service, e.Key, e.Slice, e.Fence, e.RequestID, x.Start, x.End)
}

// Check returns the violations in the entries of any number of logs, ordered by the start
// of the second execution. Executions without a slice belong to shared services and are
// checked for AtMostOnce only. SingleOwner and MonotonicFences ignore executions with the
// outcome Lapsed, which had no effect.
func Check(entries []Entry) []Violation {
	c := checker{
		runningByKey: make(map[serviceKey][]Execution),
		highestFence: make(map[string]Execution),
		firstByID:    make(map[string]Execution),
	}
	for _, x := range Executions(entries) {
		if x.Entry.Slice != "" {
			c.checkOwner(x)
			c.checkFence(x)
		}
		c.checkID(x)
	}
	return c.violations
}

type serviceKey struct {
	service string
	key     string
}

type checker struct {
	// runningByKey holds, for each key, the executions that may not have ended yet.
	runningByKey map[serviceKey][]Execution
	// highestFence holds, for each slice, the first execution under its highest fence.
	highestFence map[string]Execution
	// firstByID holds, for each request id, its first execution with a method that is not
	// idempotent.
	firstByID  map[string]Execution
	violations []Violation
}

func (c *checker) addViolation(rule Rule, first, second Execution) {
	c.violations = append(c.violations, Violation{rule, first, second})
}

func (c *checker) checkOwner(x Execution) {
	name := serviceKey{x.Entry.Service, x.Entry.Key}
	running := slices.DeleteFunc(c.runningByKey[name], func(o Execution) bool { return o.End <= x.Start })
	for _, o := range running {
		if o.Entry.process() != x.Entry.process() && o.Outcome != Lapsed && x.Outcome != Lapsed {
			c.addViolation(SingleOwner, o, x)
		}
	}
	c.runningByKey[name] = append(running, x)
}

func (c *checker) checkFence(x Execution) {
	highest, ok := c.highestFence[x.Entry.Slice]
	switch {
	case x.Outcome == Lapsed:
	case !ok || highest.fence().Less(x.fence()):
		c.highestFence[x.Entry.Slice] = x
	case x.fence().Less(highest.fence()):
		c.addViolation(MonotonicFences, highest, x)
	}
}

// fence returns the fence of the execution, or the zero fence if it is malformed.
func (x Execution) fence() fence.Fence {
	f, _ := fence.Parse(x.Entry.Fence)
	return f
}

func (c *checker) checkID(x Execution) {
	id := x.Entry.RequestID
	if id == "" || IsIdempotent(x.Entry.Method) {
		return
	}
	if first, ok := c.firstByID[id]; ok {
		c.addViolation(AtMostOnce, first, x)
		return
	}
	c.firstByID[id] = x
}

// IsIdempotent reports whether the method is idempotent, so that a request may be executed
// more than once.
func IsIdempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

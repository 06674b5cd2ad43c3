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

// Execution is one execution put together from its lines.
type Execution struct {
	// Entry is the start line.
	Entry Entry
	// Start and End are on the boot-time clock.
	Start time.Duration
	End   time.Duration
	// Outcome is empty if there is no end line; End is then the time of the last line of
	// the process, since it may have ended at any time after that.
	Outcome Outcome
}

// Executions puts the lines of any number of logs together, ordered by start.
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

// Rule is a rule that executions must keep.
type Rule string

const (
	// OneOwner forbids two processes to execute one key of a keyed service at once.
	OneOwner Rule = "one owner"
	// FencesGrow forbids an execution under a fence below one already seen for the slice.
	FencesGrow Rule = "fences grow"
	// AtMostOnce forbids two executions of one request id whose method is not idempotent.
	AtMostOnce Rule = "at most once"
)

// Violation is a broken rule with the two executions that break it.
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

// Check returns the rules that the lines of any number of logs break, ordered by the start
// of the second execution. Executions without a slice are of shared services and are held
// to AtMostOnce only; one that ended as Lapsed had no effect, so OneOwner and FencesGrow do
// not hold for it.
func Check(entries []Entry) []Violation {
	c := checker{
		byKey:   make(map[keyName][]Execution),
		highest: make(map[string]Execution),
		byID:    make(map[string]Execution),
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

type keyName struct {
	service string
	key     string
}

type checker struct {
	// byKey holds, for each key, the executions that may still run.
	byKey map[keyName][]Execution
	// highest holds the first execution under the highest fence of each slice.
	highest    map[string]Execution
	byID       map[string]Execution
	violations []Violation
}

func (c *checker) add(rule Rule, first, second Execution) {
	c.violations = append(c.violations, Violation{rule, first, second})
}

func (c *checker) checkOwner(x Execution) {
	name := keyName{x.Entry.Service, x.Entry.Key}
	running := slices.DeleteFunc(c.byKey[name], func(o Execution) bool { return o.End <= x.Start })
	for _, o := range running {
		if o.Entry.process() != x.Entry.process() && o.Outcome != Lapsed && x.Outcome != Lapsed {
			c.add(OneOwner, o, x)
		}
	}
	c.byKey[name] = append(running, x)
}

func (c *checker) checkFence(x Execution) {
	highest, ok := c.highest[x.Entry.Slice]
	switch {
	case x.Outcome == Lapsed:
	case !ok || highest.fence().Less(x.fence()):
		c.highest[x.Entry.Slice] = x
	case x.fence().Less(highest.fence()):
		c.add(FencesGrow, highest, x)
	}
}

// fence returns the fence of the execution, the zero fence if it is malformed.
func (x Execution) fence() fence.Fence {
	f, _ := fence.Parse(x.Entry.Fence)
	return f
}

func (c *checker) checkID(x Execution) {
	id := x.Entry.RequestID
	if id == "" || IsIdempotent(x.Entry.Method) {
		return
	}
	if first, ok := c.byID[id]; ok {
		c.add(AtMostOnce, first, x)
		return
	}
	c.byID[id] = x
}

// IsIdempotent reports whether requests of the method may run more than once.
func IsIdempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

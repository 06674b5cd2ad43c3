package ratelimit

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/exchange"
)

const ms = time.Millisecond

func TestTracker(t *testing.T) {
	p, restarted := exchange.TargetProcess{ID: "i-1", Born: 1000}, exchange.TargetProcess{ID: "i-1", Born: 2000}
	limit := func(perSecond float64) Limit { return Limit{PerSecond: perSecond, Valid: true} }
	type answer struct {
		process      exchange.TargetProcess
		sentAt, at   time.Duration
		statement    Statement
		perSecond    float64
		reported     Limit
		wantProcess  exchange.TargetProcess
		want         Limit
		wantsChanged bool
	}
	named := func(sentAt, at time.Duration, perSecond float64, want Limit, changed bool) answer {
		return answer{process: p, sentAt: sentAt, at: at, statement: Named, perSecond: perSecond, wantProcess: p, want: want, wantsChanged: changed}
	}
	stated := func(s Statement, sentAt, at time.Duration, want Limit, changed bool) answer {
		return answer{process: p, sentAt: sentAt, at: at, statement: s, wantProcess: p, want: want, wantsChanged: changed}
	}
	reported := func(process exchange.TargetProcess, l, want Limit, changed bool) answer {
		return answer{process: process, reported: l, wantProcess: process, want: want, wantsChanged: changed}
	}
	for name, answers := range map[string][]answer{
		"named, changed, ended": {
			named(0, 10*ms, 30, limit(30), true), named(20*ms, 30*ms, 30, limit(30), false), named(40*ms, 50*ms, 0.5, limit(0.5), true),
			named(60*ms, 70*ms, 0, limit(0), true), stated(Ended, 80*ms, 90*ms, Limit{}, true), stated(Ended, 80*ms, 95*ms, Limit{}, false),
		},
		"an answer to an older request neither raises nor ends the limit": {
			named(0, 50*ms, 30, limit(30), true), named(40*ms, 60*ms, 40, limit(30), false), stated(Ended, 55*ms, 70*ms, limit(30), false),
			named(30*ms, 80*ms, 20, limit(20), true), stated(Ended, 81*ms, 90*ms, Limit{}, true),
		},
		"a refusal says nothing": {named(0, 10*ms, 30, limit(30), true), stated(Silent, 20*ms, 30*ms, limit(30), false)},
		"another process is not bound": {
			named(0, 10*ms, 30, limit(30), true),
			{process: restarted, sentAt: 20 * ms, at: 30 * ms, statement: Silent, wantProcess: restarted, wantsChanged: false},
			{process: restarted, sentAt: 20 * ms, at: 30 * ms, statement: Silent, wantProcess: p, wantsChanged: false},
		},
		"a report counts until the first answer": {
			reported(p, limit(30), limit(30), true), reported(p, limit(20), limit(20), true), reported(p, Limit{}, limit(20), false),
			stated(Silent, 0, 10*ms, limit(20), false), stated(Ended, 10*ms, 20*ms, Limit{}, true), reported(p, limit(30), Limit{}, false),
		},
		"a report on a new process": {named(0, 10*ms, 30, limit(30), true), reported(restarted, limit(5), limit(5), true)},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			for i, a := range answers {
				var changed bool
				if a.at == 0 {
					changed = tracker.Report(a.process, a.reported)
				} else {
					changed = tracker.Observe(a.process, a.sentAt, a.at, a.statement, a.perSecond)
				}
				if got := tracker.Limit(a.wantProcess); got != a.want || changed != a.wantsChanged {
					t.Errorf("answer %d: limit %+v, changed %v; want %+v, %v", i+1, got, changed, a.want, a.wantsChanged)
				}
			}
		})
	}
}

package execlog

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/auburnrelay/auburnrelay/core/fence"
)

// Violation is one broken promise found in execution logs.
type Violation struct {
	Rule  string
	First Entry
	Then  Entry
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: key %s at %s under %s, then at %s under %s (request %s, %s)", v.Rule, v.First.Key,
		v.First.Target, v.First.Fence, v.Then.Target, v.Then.Fence, v.First.RequestID, v.Then.RequestID)
}

type execution struct {
	target      string
	incarnation uint64
	number      uint64
}

// span is one execution from its start to its end; an execution without an end line was
// lost with its process and counts as a moment.
type span struct {
	start Entry
	end   int64
}

// Check returns the violations of sole ownership in the logs of all targets: two targets that
// execute one key at a time, a fence below one already seen, and a non-idempotent request
// that ran twice. Entries without a fence belong to shared services.
func Check(entries []Entry) []Violation {
	spans := spansOf(entries)
	slices.SortStableFunc(spans, func(a, b span) int { return int(a.start.Boot - b.start.Boot) })
	var found []Violation
	found = append(found, checkOverlaps(spans)...)
	found = append(found, checkFences(spans)...)
	return append(found, checkRepeats(spans)...)
}

func spansOf(entries []Entry) []span {
	index := map[execution]int{}
	var spans []span
	for _, e := range entries {
		id := execution{target: e.Target, incarnation: e.Incarnation, number: e.Number}
		if e.Phase == Start {
			index[id] = len(spans)
			spans = append(spans, span{start: e, end: e.Boot})
			continue
		}
		if i, ok := index[id]; ok {
			spans[i].end = e.Boot
		}
	}
	return spans
}

func checkOverlaps(spans []span) []Violation {
	type owned struct{ service, key string }
	latest := map[owned]span{}
	var found []Violation
	for _, s := range spans {
		if s.start.Fence == "" {
			continue
		}
		id := owned{service: s.start.Service, key: s.start.Key}
		before, ok := latest[id]
		if ok && before.start.Target != s.start.Target && s.start.Boot < before.end {
			found = append(found, Violation{Rule: "two owners at a time", First: before.start, Then: s.start})
		}
		if !ok || s.end > before.end {
			latest[id] = s
		}
	}
	return found
}

func checkFences(spans []span) []Violation {
	type seen struct {
		fence fence.Fence
		entry Entry
	}
	highest := map[string]seen{}
	var found []Violation
	for _, s := range spans {
		f, err := fence.Parse(s.start.Fence)
		if err != nil {
			continue
		}
		top, ok := highest[s.start.Slice]
		if ok && f.Less(top.fence) {
			found = append(found, Violation{Rule: "fence below one already seen", First: top.entry, Then: s.start})
		}
		if !ok || top.fence.Less(f) {
			highest[s.start.Slice] = seen{fence: f, entry: s.start}
		}
	}
	return found
}

func checkRepeats(spans []span) []Violation {
	ran := map[string]Entry{}
	var found []Violation
	for _, s := range spans {
		id := s.start.RequestID
		if id == "" || s.start.Method == http.MethodGet || s.start.Method == http.MethodHead {
			continue
		}
		if before, ok := ran[id]; ok {
			found = append(found, Violation{Rule: "ran twice", First: before, Then: s.start})
		}
		ran[id] = s.start
	}
	return found
}

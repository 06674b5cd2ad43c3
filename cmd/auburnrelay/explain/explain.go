// Package explain tells the story of one request from the logs of several nodes: the lines on the
// request in order of time, and what the nodes involved learned or decided around it.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// before and after bound the events around a request: a lease, the longest time between a
	// loss and its effect on a request, and a heartbeat.
	before = 5 * time.Second
	after  = 2 * time.Second
	// maxEvents bounds the events that are shown.
	maxEvents = 40
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 1 << 20
)

// ErrNotFound reports an id that no line names.
var ErrNotFound = errors.New("no line names the request")

// Line is one line of a log.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`
	Part    string    `json:"part"`
	ID      string    `json:"id"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`
	Target  string    `json:"target"`
	Service string    `json:"service"`
	Peer    string    `json:"peer"`
	// Text is the line as it was written.
	Text json.RawMessage `json:"-"`
}

// Story is what the logs say of one request.
type Story struct {
	ID string `json:"id"`
	// Steps are the lines on the request.
	Steps []Line `json:"-"`
	// Events are lines on what the request depended on, near it in time; LeftOut counts those
	// beyond the bound.
	Events  []Line `json:"-"`
	LeftOut int    `json:"events_left_out"`
	// Outcome and Reason are those of the last step.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// Cause says in a sentence what the reason means.
	Cause string `json:"cause"`
}

// causes says what each reason means and where to look on.
var causes = map[string]string{
	"shed":               "no slot of the target became free in the part of the objective that a request may wait; look for the target's load in 'table written' with reason 'moved'",
	"target-shed":        "the target itself refused the request without running it",
	"moving":             "the key's slice was on its way to another target; see 'table written' and 'released'",
	"no-owner":           "no live target owned the key; see 'lease revoked', 'target left' and the next 'assigned'",
	"not-owner":          "the node asked did not own the key by its version of the table; compare 'table read' on both nodes",
	"lease-lapsed":       "the owner's lease had ended; see 'lease not renewed', 'lease extension' and 'dependency lost' of the store",
	"fence":              "the target held another grant, or none, for the key",
	"target-absent":      "the node had no live target of the service; see 'target left' and 'dependency lost'",
	"target-draining":    "the target had said that it leaves",
	"target-unreachable": "no connection to the target could be opened",
	"target-lost":        "the connection to the target broke while it may have run the request",
	"truncated":          "the target's answer broke off",
	"crossed-answer":     "the target's answer belonged to another request or bore no signature",
	"peer-unreachable":   "no connection to the target's node could be opened; see 'lease revoked' and 'node restarted' of that node",
	"peer-lost":          "the connection to the target's node broke while the request was with it",
	"peer-identity":      "another node answered at the address; see 'node replaced'",
	"deadline":           "the time of the caller or of the route ended first",
	"cancelled":          "the caller left",
	"quarantined":        "requests like it had crashed targets; see 'request suspected'",
	"retry-budget":       "the request could not be sent again",
}

// Read reads the lines of a log; what stands before the first brace of a line is passed over, and
// so are lines that are no JSON objects.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(text[start:], &l) != nil || l.Message == "" {
			continue
		}
		l.Text = bytes.Clone(text[start:])
		lines = append(lines, l)
	}
	return lines, errors.Wrap(scanner.Err(), "read a log")
}

// Of returns the story of the request; it fails with ErrNotFound.
func Of(id string, lines []Line) (*Story, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s := &Story{ID: id}
	for _, l := range lines {
		if l.ID == id {
			s.Steps = append(s.Steps, l)
		}
	}
	if len(s.Steps) == 0 {
		return nil, errors.Wrapf(ErrNotFound, "%q", id)
	}
	s.end()
	s.around(lines)
	return s, nil
}

// end takes the outcome from the last step that has one, the caller's node first.
func (s *Story) end() {
	for _, l := range s.Steps {
		if l.Outcome != "" && (l.Message == "request ended" || s.Outcome == "") {
			s.Outcome, s.Reason = l.Outcome, l.Reason
		}
	}
	switch {
	case s.Outcome == "answered":
		s.Cause = "the target answered; its status is in the line of the caller's node"
	case causes[s.Reason] != "":
		s.Cause = causes[s.Reason]
	default:
		s.Cause = s.Steps[len(s.Steps)-1].Message + ": " + s.Reason
	}
}

// around collects the events that concern the targets, services and nodes of the steps.
func (s *Story) around(lines []Line) {
	names := make(map[string]bool)
	for _, l := range s.Steps {
		for _, name := range []string{l.Target, l.Service, l.Node} {
			names[name] = true
		}
	}
	// A target belongs to the node that found it.
	for _, l := range lines {
		if l.Message == "target found" && names[l.Target] {
			names[l.Node] = true
		}
	}
	delete(names, "")
	from, to := s.Steps[0].Time.Add(-before), s.Steps[len(s.Steps)-1].Time.Add(after)
	for _, l := range lines {
		if l.ID != "" || l.Time.Before(from) || l.Time.After(to) || !concerns(l, names) {
			continue
		}
		if len(s.Events) == maxEvents {
			s.LeftOut++
			continue
		}
		s.Events = append(s.Events, l)
	}
}

// routine are messages of what happens on every node all the time.
var routine = []string{"vote", "table read", "node found"}

// concerns reports whether an event touches the names: those of a node itself, and those that other
// nodes write of it.
func concerns(l Line, names map[string]bool) bool {
	if slices.Contains(routine, l.Message) {
		return false
	}
	return names[l.Node] || names[l.Target] || names[l.Peer]
}
